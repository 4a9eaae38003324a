package io.laburnummoor.core.version;

import java.util.ArrayList;
import java.util.List;

/**
 * Times at which upstreams are ordered to load the new version, so that each step of a rollout finds enough of them.
 *
 * <p>Loads follow one another, because the weight store's rate is shared: two at once would each take twice as long.
 * The plan is laid backwards from the times of need, which starts each load as late as possible and still in time.
 *
 * @param steps plan of the traffic shares
 * @param upstreamCount number of upstreams of the service
 * @param sizeBytes size of the weights of one upstream
 * @param storeBytesPerSecond rate limit of the weight store
 */
public record ModelLoadPlan(StepPlan steps, int upstreamCount, long sizeBytes, long storeBytesPerSecond) {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double PER_MILLE = 1_000;

    /** Returns the time that one load takes at the rate limit. */
    public long loadMillis() {
        return (long) Math.ceil(MILLIS_PER_SECOND * sizeBytes / storeBytesPerSecond);
    }

    /** Returns the number of upstreams that the share of a step needs, at least 1. */
    public int upstreamsNeeded(int step) {
        return Math.max(1, (int) Math.ceil(StepPlan.sharePerMille(step) / PER_MILLE * upstreamCount));
    }

    /** Returns the times to order the loads, in their order. */
    public List<Long> orderTimesMillis() {
        List<Long> neededAtMillis = new ArrayList<>();
        for (int step = 0; step <= StepPlan.lastStep(); step++) {
            long dueAtMillis = step == 0 ? steps.startedAtMillis() : steps.dueAtMillis(step, steps.startedAtMillis());
            while (neededAtMillis.size() < upstreamsNeeded(step)) {
                neededAtMillis.add(dueAtMillis);
            }
        }
        List<Long> orderAtMillis = new ArrayList<>(neededAtMillis);
        long latestEndMillis = Long.MAX_VALUE;
        for (int i = neededAtMillis.size() - 1; i >= 0; i--) {
            long endMillis = Math.min(neededAtMillis.get(i), latestEndMillis);
            latestEndMillis = endMillis - loadMillis();
            orderAtMillis.set(i, latestEndMillis);
        }
        return List.copyOf(orderAtMillis);
    }

    /** Returns whether the first load must already have been ordered, so that the deadline cannot be met. */
    public boolean isTooLate(long nowMillis) {
        return orderTimesMillis().get(0) < nowMillis;
    }
}
