package io.laburnummoor.core.process;

/**
 * Decides whether a request that finds no room waits, and for how long, or is refused at once. If a wait ends
 * without a place, the request is sent as if nothing were known: upstreams may have room of which nothing is known.
 */
public final class WaitPolicy {
    /** Spread of the time until a refused caller comes back, so that callers do not come back at the same time. */
    private static final double RETRY_SPREAD = 0.2;
    /** A refused caller comes back within this part of its remaining time, so that it can try again elsewhere. */
    private static final int RETRY_PART_OF_REMAINING = 3;
    /** Part of its goal for which a request waits if the start cannot be predicted. */
    private static final int UNKNOWN_PART_OF_GOAL = 2;
    /** Places do not become free evenly, so that a start may be later than predicted by some percent. */
    private static final double LATE_START_FACTOR = 1.1;
    /** A place that does not come within this multiple of its predicted time is no longer expected. */
    private static final int PREDICTION_FACTOR = 2;

    private WaitPolicy() {}

    /**
     * Decides about a request.
     *
     * @param startInMillis predicted time until the start, or {@link StartEstimator#UNKNOWN_MILLIS}
     * @param runMillis expected time from the start to the response
     * @param remainingMillis time until the deadline
     * @param goalMillis goal for the response or its first event, counted from the arrival
     * @param ageMillis time since the arrival of the request
     * @param draw random number from 0 to 1, which spreads the retries
     */
    public static Decision decide(
            long startInMillis, long runMillis, long remainingMillis, long goalMillis, long ageMillis, double draw) {
        long latestStartMillis = Math.max(0, remainingMillis - runMillis);
        long goalPartMillis = Math.max(0, goalMillis / UNKNOWN_PART_OF_GOAL - ageMillis);
        if (startInMillis == StartEstimator.UNKNOWN_MILLIS) {
            return new Decision(Math.min(latestStartMillis, goalPartMillis), 0);
        }
        if (LATE_START_FACTOR * startInMillis > latestStartMillis) {
            return new Decision(0, retryAfterMillis(startInMillis, remainingMillis, draw));
        }
        long expectedMillis = Math.max(goalPartMillis, PREDICTION_FACTOR * startInMillis);
        return new Decision(Math.min(latestStartMillis, expectedMillis), 0);
    }

    /** Returns when a refused caller may come back, from the predicted time until a place is free. */
    public static long retryAfterMillis(long startInMillis, long remainingMillis, double draw) {
        double spread = 1 + RETRY_SPREAD * (2 * draw - 1);
        long latestMillis = Math.max(1, remainingMillis / RETRY_PART_OF_REMAINING);
        return Math.max(1, Math.min(latestMillis, Math.round(startInMillis * spread)));
    }

    /**
     * A decision.
     *
     * @param maxWaitMillis time for which the request waits at most; 0 if it is refused, or sent at once
     * @param retryAfterMillis time after which the refused caller may come back; 0 if the request is not refused
     */
    public record Decision(long maxWaitMillis, long retryAfterMillis) {
        public boolean isRefused() {
            return retryAfterMillis > 0;
        }
    }
}
