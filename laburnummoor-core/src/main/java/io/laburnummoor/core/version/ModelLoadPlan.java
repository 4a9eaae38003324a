package io.laburnummoor.core.version;

import java.util.ArrayList;
import java.util.List;

/**
 * Times at which upstreams are ordered to load the model weights of the new version, so that enough of them are ready
 * at each step of a rollout.
 *
 * <p>Loads run one after another, because they share the rate limit of the weight store: two concurrent loads would
 * each take twice as long. The plan is computed backwards from the times at which the upstreams are needed, so that
 * each load starts as late as possible.
 *
 * @param steps plan of the traffic shares
 * @param upstreamCount number of upstreams of the service
 * @param sizeBytes size of the model weights that one upstream loads
 * @param storeBytesPerSecond rate limit of the weight store
 */
public record ModelLoadPlan(StepPlan steps, int upstreamCount, long sizeBytes, long storeBytesPerSecond) {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double PER_MILLE = 1_000;

    /** Returns the duration of one load at the rate limit. */
    public long loadMillis() {
        return (long) Math.ceil(MILLIS_PER_SECOND * sizeBytes / storeBytesPerSecond);
    }

    /** Returns the number of upstreams needed for the traffic share of a step, at least 1. */
    public int upstreamsNeeded(int step) {
        return Math.max(1, (int) Math.ceil(StepPlan.sharePerMille(step) / PER_MILLE * upstreamCount));
    }

    /** Returns the times at which to order the loads, in ascending order. */
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

    /** Returns whether the first load should have been ordered earlier, so that the deadline cannot be met. */
    public boolean isTooLate(long nowMillis) {
        return orderTimesMillis().get(0) < nowMillis;
    }
}
