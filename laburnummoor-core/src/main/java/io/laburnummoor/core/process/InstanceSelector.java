package io.laburnummoor.core.process;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.request.PromptPart;
import io.laburnummoor.core.version.ForwardService;
import org.jspecify.annotations.Nullable;

/**
 * Selects the upstream for an attempt of a gateway's request and the upstream that holds the KV-cache backup of a
 * generation: the one with the lowest score, in units of one running request. Used by the event loops concurrently.
 */
public final class InstanceSelector {
    /** Tokens in the KV cache that weigh as much as one running request in the selection of a backup. */
    private static final double KV_CACHE_TOKENS_PER_REQUEST = 8_000;

    private static final double SUSPECT_DOMAIN_PENALTY = 100;
    /** An ejected upstream is the last resort: it may have recovered, and refusing the request is no better. */
    private static final double EJECTED_PENALTY = 1_000;

    private static final double FULL_PENALTY = 50;
    /** Penalty of an upstream that fails all requests; it is multiplied by the failure rate. */
    private static final double FAILURE_RATE_PENALTY = 20;
    /** Less than one request, so that it decides only between upstreams of equal load. */
    private static final double OTHER_DOMAIN_PENALTY = 0.2;

    /** Draw that selects the old version unless the new one has all traffic. */
    private static final double OLD_VERSION_DRAW = Math.nextDown(1.0);

    private final String failureDomain;
    private final DomainOutageDetector domainOutages;
    private final PeerLoads peerLoads;
    private final OrderedRollouts rollouts;
    private final ExpectedTime expectedTime;
    private final PlacementPolicy requestCountPolicy;
    private final PlacementPolicy expectedTimePolicy;

    /** Creates the selector of one router. */
    public InstanceSelector(
            String routerName,
            String failureDomain,
            DomainOutageDetector domainOutages,
            PeerLoads peerLoads,
            OrderedRollouts rollouts) {
        this.failureDomain = failureDomain;
        this.domainOutages = domainOutages;
        this.peerLoads = peerLoads;
        this.rollouts = rollouts;
        this.expectedTime = new ExpectedTime(peerLoads);
        this.requestCountPolicy = new RequestCountPolicy(routerName, peerLoads);
        this.expectedTimePolicy = new ExpectedTimePolicy(expectedTime);
    }

    /** Returns the estimator of the time that requests take. */
    public ExpectedTime expectedTime() {
        return expectedTime;
    }

    /**
     * Returns whether the expected time decides on the upstreams of a service: as soon as one of them has reported its
     * pace. Differing urgency alone says nothing about the upstreams.
     */
    public boolean usesExpectedTime(List<InstanceState> upstreams) {
        for (InstanceState each : upstreams) {
            if (each.pace().isReported()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the best upstream for an attempt, or null if none can take work. Falls back to the old version while the
     * new one has no upstream, and to the new one while no other is in service.
     */
    public @Nullable InstanceState select(InstanceTable table, Criteria criteria, long nowMillis) {
        InstanceState selected = selectForVersion(table, criteria, criteria.versionDraw, nowMillis);
        if (selected == null) {
            selected = selectForVersion(table, criteria, OLD_VERSION_DRAW, nowMillis);
        }
        String service = criteria.service.name();
        return selected == null && rollouts.ignoresShare(service, table.ofService(service), nowMillis)
                ? selectAllowed(table, criteria, instance -> true, nowMillis)
                : selected;
    }

    private @Nullable InstanceState selectForVersion(
            InstanceTable table, Criteria criteria, double versionDraw, long nowMillis) {
        return selectAllowed(table, criteria, instance -> rollouts.allows(instance, versionDraw), nowMillis);
    }

    private @Nullable InstanceState selectAllowed(
            InstanceTable table, Criteria criteria, Predicate<UpstreamInstance> allowed, long nowMillis) {
        List<InstanceState> upstreams = table.ofService(criteria.service.name());
        PlacementPolicy policy = usesExpectedTime(upstreams) ? expectedTimePolicy : requestCountPolicy;
        long promptTokens = criteria.promptTokens();
        Predicate<InstanceState> eligible = each -> each.acceptsRequests(nowMillis)
                && !criteria.excludedIds.contains(each.instance().id())
                && allowed.test(each.instance());
        ToDoubleFunction<InstanceState> costs = policy.costs(criteria, nowMillis);
        ToDoubleFunction<InstanceState> score = each -> score(each, policy, costs, criteria, nowMillis)
                + (hasCapacity(each, criteria.service, promptTokens) ? 0 : policy.fullCost())
                - policy.cachedPrefixValue(each, criteria, nowMillis);
        return policy == expectedTimePolicy
                ? selectNearLowest(upstreams, policy, criteria, eligible, score)
                : selectLowest(upstreams, Double.POSITIVE_INFINITY, eligible, score);
    }

    /** Returns the prompt tokens of all routers' requests that an upstream still has to prefill, as far as known. */
    public long totalPrefillTokens(InstanceState upstream) {
        return peerLoads.totalOf(upstream).prefillTokens();
    }

    /**
     * Returns the upstream for the KV-cache backup of a generation, in another failure domain than the primary, or null
     * if there is none.
     */
    public @Nullable InstanceState selectBackup(
            InstanceTable table, ForwardService service, UpstreamInstance primary, long tokens, long nowMillis) {
        Criteria criteria = new Criteria(service, Set.of(), List.of(), OLD_VERSION_DRAW, false);
        ToDoubleFunction<InstanceState> costs = requestCountPolicy.costs(criteria, nowMillis);
        return selectLowest(
                table.ofService(service.name()),
                EJECTED_PENALTY,
                each -> each.acceptsRequests(nowMillis)
                        && !each.instance().failureDomain().equals(primary.failureDomain())
                        && each.instance().version().equals(primary.version())
                        && hasCapacity(each, service, tokens),
                each -> score(each, requestCountPolicy, costs, criteria, nowMillis)
                        + totalKvCacheTokens(each) / KV_CACHE_TOKENS_PER_REQUEST);
    }

    private boolean hasCapacity(InstanceState each, ForwardService service, long tokens) {
        return service.kvCacheTokens() == 0 || totalKvCacheTokens(each) + tokens <= service.kvCacheTokens();
    }

    private long totalKvCacheTokens(InstanceState each) {
        return peerLoads.totalOf(each).kvCacheTokens();
    }

    /** Returns the eligible upstream with the lowest score below a limit, or null if there is none. */
    private static @Nullable InstanceState selectLowest(
            List<InstanceState> candidates,
            double limit,
            Predicate<InstanceState> eligible,
            ToDoubleFunction<InstanceState> score) {
        InstanceState best = null;
        double bestScore = limit;
        for (InstanceState each : candidates) {
            double candidateScore = eligible.test(each) ? score.applyAsDouble(each) : limit;
            if (candidateScore < bestScore) {
                best = each;
                bestScore = candidateScore;
            }
        }
        return best;
    }

    /**
     * Returns one of the eligible upstreams whose score is near the lowest, or null if none is eligible. The
     * probability of an upstream falls linearly from the lowest score to the tolerance above it.
     */
    private static @Nullable InstanceState selectNearLowest(
            List<InstanceState> candidates,
            PlacementPolicy policy,
            Criteria criteria,
            Predicate<InstanceState> eligible,
            ToDoubleFunction<InstanceState> score) {
        double[] scores = new double[candidates.size()];
        double lowest = Double.POSITIVE_INFINITY;
        for (int i = 0; i < scores.length; i++) {
            InstanceState each = candidates.get(i);
            scores[i] = eligible.test(each) ? score.applyAsDouble(each) : Double.POSITIVE_INFINITY;
            lowest = Math.min(lowest, scores[i]);
        }
        if (lowest == Double.POSITIVE_INFINITY) {
            return null;
        }
        double limit = lowest + Math.max(Double.MIN_NORMAL, policy.tolerance(lowest, criteria));
        double total = 0;
        for (double each : scores) {
            total += Math.max(0, limit - each);
        }
        double remaining = criteria.work.draw() * total;
        InstanceState best = null;
        for (int i = 0; i < scores.length; i++) {
            remaining -= Math.max(0, limit - scores[i]);
            if (remaining < 0) {
                return candidates.get(i);
            }
            best = scores[i] == lowest ? candidates.get(i) : best;
        }
        // Reached only by rounding.
        return best;
    }

    private double score(
            InstanceState each,
            PlacementPolicy policy,
            ToDoubleFunction<InstanceState> costs,
            Criteria criteria,
            long nowMillis) {
        UpstreamInstance instance = each.instance();
        double score = costs.applyAsDouble(each);
        score += each.failureRate() * FAILURE_RATE_PENALTY;
        score += each.isEjected(nowMillis) ? EJECTED_PENALTY : 0;
        score += each.isFull(nowMillis) ? FULL_PENALTY : 0;
        score += domainOutages.isSuspect(criteria.service.name(), instance.failureDomain(), nowMillis)
                ? SUSPECT_DOMAIN_PENALTY
                : 0;
        score += instance.failureDomain().equals(failureDomain) ? 0 : OTHER_DOMAIN_PENALTY;
        return score + policy.spread(each, criteria);
    }

    /**
     * Criteria for the upstream of an attempt.
     *
     * @param service service that the upstream belongs to
     * @param excludedIds upstreams that must not be used
     * @param prompt parts of a generation's prompt, empty for other requests
     * @param versionDraw random number from 0 to 1 that selects the version during a rollout
     * @param afterLoss whether an earlier attempt was lost, so that other routers may select at the same moment
     * @param work size and goal of the request
     */
    public record Criteria(
            ForwardService service,
            Set<String> excludedIds,
            List<PromptPart> prompt,
            double versionDraw,
            boolean afterLoss,
            RequestWork work) {
        /** Creates criteria for a request of whose size and goal nothing is known. */
        public Criteria(
                ForwardService service,
                Set<String> excludedIds,
                List<PromptPart> prompt,
                double versionDraw,
                boolean afterLoss) {
            this(service, excludedIds, prompt, versionDraw, afterLoss, RequestWork.UNKNOWN);
        }

        /** Returns the length of the prompt in tokens. */
        long promptTokens() {
            return prompt.stream().mapToLong(PromptPart::tokens).sum();
        }
    }
}
