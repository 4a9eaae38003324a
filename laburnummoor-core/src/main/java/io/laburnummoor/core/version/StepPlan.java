package io.laburnummoor.core.version;

import java.util.List;

/**
 * Steps of a declared rollout: traffic shares of the new version and the times at which they are due.
 *
 * <p>The last step is due when {@link #PLANNED_FRACTION} of the time has passed; the rest is reserved for delays.
 *
 * @param startedAtMillis wall-clock time of the first step
 * @param completeByMillis deadline of the last step, as wall-clock time
 * @param minStepMillis minimum time between two steps
 */
public record StepPlan(long startedAtMillis, long completeByMillis, long minStepMillis) {
    /** Shares in thousandths. The first is small; the last but one leaves the old version enough traffic to compare. */
    private static final List<Integer> SHARES_PER_MILLE = List.of(10, 50, 150, 400, 800, 1_000);

    private static final double PLANNED_FRACTION = 0.8;

    /** Returns the index of the last step, at which the new version has all traffic. */
    public static int lastStep() {
        return SHARES_PER_MILLE.size() - 1;
    }

    /** Returns the share of a step in thousandths of the traffic. */
    public static int sharePerMille(int step) {
        return SHARES_PER_MILLE.get(step);
    }

    /** Returns the earliest time of a step if the previous one was taken at the given time. */
    public long dueAtMillis(int step, long previousAtMillis) {
        double usableMillis = PLANNED_FRACTION * (completeByMillis - startedAtMillis);
        long plannedAtMillis = startedAtMillis + Math.round(usableMillis * step / lastStep());
        return Math.max(plannedAtMillis, previousAtMillis + minStepMillis);
    }

    /** Returns whether the last step can still meet the deadline if all steps follow at the minimum interval. */
    public boolean canComplete(int step, long stepAtMillis, long nowMillis) {
        long remainingSteps = lastStep() - (long) step;
        long nextAtMillis = Math.max(nowMillis, stepAtMillis + minStepMillis);
        return remainingSteps == 0 || nextAtMillis + (remainingSteps - 1) * minStepMillis <= completeByMillis;
    }
}
