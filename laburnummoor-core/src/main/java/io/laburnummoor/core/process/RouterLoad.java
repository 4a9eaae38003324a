package io.laburnummoor.core.process;

import java.util.List;
import java.util.Map;

import io.laburnummoor.core.connection.EndedIncarnation;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.version.VersionCounts;

/**
 * What one router uses of all upstreams, as it told last.
 *
 * @param router name of the router
 * @param incarnation differs for each life of the router's process
 * @param sequence increases with each message of one life
 * @param rolloutCounts judged answers by route for each ordered rollout, by the number of the order
 * @param suspects requests that crashed upstreams
 * @param endedIncarnations lives of upstreams whose end the router has seen lately
 * @param loadById loads by upstream id; upstreams that are missing are unused by the router
 */
public record RouterLoad(
        String router,
        long incarnation,
        long sequence,
        Map<Long, Map<String, VersionCounts>> rolloutCounts,
        List<CrashSuspect> suspects,
        List<EndedIncarnation> endedIncarnations,
        Map<String, UpstreamLoad> loadById) {
    /** Copies the loads. */
    public RouterLoad {
        suspects = List.copyOf(suspects);
        endedIncarnations = List.copyOf(endedIncarnations);
        rolloutCounts = Map.copyOf(rolloutCounts);
        loadById = Map.copyOf(loadById);
    }

    /** Returns whether this is to replace what the router told before. */
    public boolean isNewerThan(RouterLoad previous) {
        return incarnation != previous.incarnation || sequence > previous.sequence;
    }
}
