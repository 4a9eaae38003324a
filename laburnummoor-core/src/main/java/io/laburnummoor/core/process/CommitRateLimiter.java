package io.laburnummoor.core.process;

/**
 * Bounds the rate of a partition's commits by the generic cell rate algorithm, which is equivalent to a token bucket.
 * Used by one thread at a time.
 */
public final class CommitRateLimiter {
    private final long intervalMillis;
    private final long burstToleranceMillis;
    /** Earliest time of the next commit if commits were evenly spaced; a burst may precede it. */
    private long theoreticalArrivalMillis = Long.MIN_VALUE / 2;

    public CommitRateLimiter(long intervalMillis, int burst) {
        this.intervalMillis = intervalMillis;
        this.burstToleranceMillis = intervalMillis * (burst - 1);
    }

    /** Returns how long to wait before the next commit, 0 if it may be made now. */
    public long delayMillis(long nowMillis) {
        return Math.max(0, theoreticalArrivalMillis - burstToleranceMillis - nowMillis);
    }

    /** Counts a commit. */
    public void recordCommit(long nowMillis) {
        theoreticalArrivalMillis = Math.max(theoreticalArrivalMillis, nowMillis) + intervalMillis;
    }
}
