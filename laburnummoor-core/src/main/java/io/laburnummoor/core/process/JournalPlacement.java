package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.connection.UpstreamState;

/**
 * Selects the agents that keep answer journals. All routers select the same few in each failure domain, so that a
 * router has a bounded number of connections and a router that resumes an answer finds its journal.
 */
public final class JournalPlacement {
    private static final String SUBSET_KEY = "journal-agents";

    private JournalPlacement() {}

    /**
     * Returns the selected agents.
     *
     * @param alive reachable agents
     * @param agentsPerDomain maximum number in one failure domain
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
