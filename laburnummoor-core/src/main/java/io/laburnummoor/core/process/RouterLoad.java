package io.laburnummoor.core.process;

import java.util.List;
import java.util.Map;

import io.laburnummoor.core.connection.EndedIncarnation;
import io.laburnummoor.core.connection.ReportedPace;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.version.VersionCounts;

/**
 * Report of one router: its load on all upstreams and the evidence that it shares with other routers.
 *
 * @param router name of the router
 * @param incarnation differs for each incarnation of the router's process
 * @param sequence increases with each message of one incarnation
 * @param rolloutCounts answers counted as succeeded or failed, by number of the rollout order and by route
 * @param suspects requests that crashed upstreams
 * @param suspectPromptParts some of the prompt parts that may crash upstreams
 * @param endedIncarnations upstream incarnations whose end the router has recently detected
 * @param loadById loads by upstream id; upstreams that are missing are unused by the router
 * @param paces latest paces that upstreams reported to the router
 */
public record RouterLoad(
        String router,
        long incarnation,
        long sequence,
        Map<Long, Map<String, VersionCounts>> rolloutCounts,
        List<CrashSuspect> suspects,
        List<SuspectPromptPart> suspectPromptParts,
        List<EndedIncarnation> endedIncarnations,
        Map<String, UpstreamLoad> loadById,
        List<ReportedPace> paces) {
    /** Creates a report without paces. */
    public RouterLoad(
            String router,
            long incarnation,
            long sequence,
            Map<Long, Map<String, VersionCounts>> rolloutCounts,
            List<CrashSuspect> suspects,
            List<SuspectPromptPart> suspectPromptParts,
            List<EndedIncarnation> endedIncarnations,
            Map<String, UpstreamLoad> loadById) {
        this(
                router,
                incarnation,
                sequence,
                rolloutCounts,
                suspects,
                suspectPromptParts,
                endedIncarnations,
                loadById,
                List.of());
    }

    /** Copies the collections. */
    public RouterLoad {
        suspects = List.copyOf(suspects);
        suspectPromptParts = List.copyOf(suspectPromptParts);
        endedIncarnations = List.copyOf(endedIncarnations);
        rolloutCounts = Map.copyOf(rolloutCounts);
        loadById = Map.copyOf(loadById);
        paces = List.copyOf(paces);
    }

    /** Returns whether this report replaces a previous one of the same router. */
    public boolean isNewerThan(RouterLoad previous) {
        return incarnation != previous.incarnation || sequence > previous.sequence;
    }
}
