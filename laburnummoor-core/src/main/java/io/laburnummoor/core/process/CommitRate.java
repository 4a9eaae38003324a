package io.laburnummoor.core.process;

/** Token bucket that bounds the commits of one partition. Used by one thread at a time. */
public final class CommitRate {
    private final long intervalMillis;
    private final long burstMillis;
    private long paidUntilMillis = Long.MIN_VALUE / 2;

    /** Creates a full bucket. */
    public CommitRate(long intervalMillis, int burst) {
        this.intervalMillis = intervalMillis;
        this.burstMillis = intervalMillis * (burst - 1);
    }

    /** Returns how long to wait before the next commit, 0 if it may be made now. */
    public long delayMillis(long nowMillis) {
        return Math.max(0, paidUntilMillis - burstMillis - nowMillis);
    }

    /** Counts a commit. */
    public void take(long nowMillis) {
        paidUntilMillis = Math.max(paidUntilMillis, nowMillis) + intervalMillis;
    }
}
