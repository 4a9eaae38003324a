package io.laburnummoor.core.process;

import java.util.List;

import io.laburnummoor.core.connection.UpstreamReport;
import io.laburnummoor.core.connection.UpstreamState;
import org.jspecify.annotations.Nullable;

/**
 * Selects the upstream with the lowest score among those that can take a request of a router. Stateless; used by any
 * thread.
 */
public final class UpstreamSelector {
    // Penalties and bonuses are in units of one running request.
    private static final double LOST_DOMAIN_PENALTY = 4;
    private static final double STALLED_STREAM_PENALTY = 16;
    private static final double PREFIX_AFFINITY_BONUS = 2;

    private final List<UpstreamScore> scores;

    /** Creates a selector that adds up the given scores. */
    public UpstreamSelector(List<UpstreamScore> scores) {
        this.scores = List.copyOf(scores);
    }

    /** Returns a selector by load, failure domain of the last loss, stalled streams and prefix-cache affinity. */
    public static UpstreamSelector standard() {
        return new UpstreamSelector(List.of(
                (upstream, context) -> upstream.estimatedLoad(),
                (upstream, context) -> upstream.upstream().failureDomain().equals(context.lostFailureDomain())
                        ? LOST_DOMAIN_PENALTY
                        : 0,
                (upstream, context) -> upstream.hasStalledStream(context.nowMillis()) ? STALLED_STREAM_PENALTY : 0,
                UpstreamSelector::prefixAffinity));
    }

    /** Returns the best upstream, or null if none can take the request. */
    public @Nullable UpstreamState select(RoutingSnapshot snapshot, SelectionContext context) {
        UpstreamState best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (UpstreamState candidate : snapshot.ofService(context.service())) {
            if (!isCandidate(candidate, context)) {
                continue;
            }
            double score = totalScore(candidate, context);
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return best;
    }

    /**
     * Returns whether any upstream that is not leaving runs the version, even if it cannot take work at the moment.
     */
    public static boolean isVersionKnown(RoutingSnapshot snapshot, String service, String version) {
        for (UpstreamState each : snapshot.ofService(service)) {
            UpstreamReport report = each.report();
            if (report != null && report.version().equals(version) && !report.leaving()) {
                return true;
            }
        }
        return false;
    }

    private static boolean isCandidate(UpstreamState candidate, SelectionContext context) {
        UpstreamReport report = candidate.report();
        return report != null
                && candidate.isAvailable(context.nowMillis())
                && !candidate.isIsolated()
                && !context.excludedIds().contains(candidate.upstream().id())
                && (context.version() == null || context.version().equals(report.version()))
                && (context.adapter().isEmpty() || report.adapters().contains(context.adapter()));
    }

    private double totalScore(UpstreamState candidate, SelectionContext context) {
        double total = 0;
        for (UpstreamScore each : scores) {
            total += each.score(candidate, context);
        }
        return total;
    }

    /** Prefers, by rendezvous hash, the same few upstreams for prompts with the same prefix. */
    private static double prefixAffinity(UpstreamState upstream, SelectionContext context) {
        long hash =
                RendezvousHash.weight(context.prefixHash(), upstream.upstream().id());
        return -PREFIX_AFFINITY_BONUS * RendezvousHash.toUnitInterval(hash);
    }
}
