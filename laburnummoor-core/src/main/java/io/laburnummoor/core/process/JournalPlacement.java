package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.connection.UpstreamState;

/**
 * Chooses the agents that keep journals: in each failure domain the same few for every router, so that a router holds a
 * bounded number of connections and a resuming router looks in the right place.
 */
public final class JournalPlacement {
    private static final String SUBSET_KEY = "journal-agents";

    private JournalPlacement() {}

    /**
     * Returns the chosen agents.
     *
     * @param alive agents that answer
     * @param agentsPerDomain greatest number in one failure domain
     */
    public static List<UpstreamState> selectAgents(Collection<UpstreamState> alive, int agentsPerDomain) {
        Map<String, Integer> countByDomain = new HashMap<>();
        List<UpstreamState> chosen = new ArrayList<>();
        for (UpstreamState each :
                RendezvousHash.rank(SUBSET_KEY, alive, state -> state.upstream().id())) {
            if (countByDomain.merge(each.upstream().failureDomain(), 1, Integer::sum) <= agentsPerDomain) {
                chosen.add(each);
            }
        }
        return chosen;
    }
}
