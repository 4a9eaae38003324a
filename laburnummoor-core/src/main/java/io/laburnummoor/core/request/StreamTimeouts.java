package io.laburnummoor.core.request;

/**
 * Decides how long the stream of one request may be silent before its upstream counts as stalled. Adapts to the pace at
 * which the stream has arrived so far, and waits longer after each stall, so that a stream is not abandoned again and
 * again while all upstreams are slow but sound. Not thread-safe: each request is confined to one event loop.
 */
public final class StreamTimeouts {
    /** Event gap target of a route that declares none. */
    private static final long DEFAULT_GAP_TARGET_MILLIS = 2_000;
    /** Fraction of the gap target after which a stream at full pace has stalled; the rest is for the resumption. */
    private static final double STALL_FRACTION = 0.5;
    /** Multiple of the usual gap between two events from which a stream has stalled. */
    private static final int STALL_GAP_FACTOR = 4;
    /** Upper bound of the stall timeout in gap targets, so that an event now and then does not keep a stream open. */
    private static final int MAX_GAP_TARGETS = 4;
    /** Weight of the latest gap in the moving average. */
    private static final double GAP_WEIGHT = 0.2;

    private static final int MAX_DOUBLINGS = 8;

    /** Time that the first event may take in addition to the prefill. */
    private static final long FIRST_EVENT_SLACK_MILLIS = 600;
    /** Multiple of the expected prefill time that the first event may take; engines differ in speed. */
    private static final int PREFILL_FACTOR = 2;

    private static final long NO_EVENT = Long.MIN_VALUE;

    private final long gapTargetMillis;
    private double usualGapMillis;
    private long lastEventMillis = NO_EVENT;
    private int stallCount;

    /**
     * Creates the timeouts of one request.
     *
     * @param gapTargetMillis longest gap between events for which a response is on time, or 0 if none is declared
     */
    public StreamTimeouts(long gapTargetMillis) {
        this.gapTargetMillis = gapTargetMillis == 0 ? DEFAULT_GAP_TARGET_MILLIS : gapTargetMillis;
    }

    /** Records an event of the running attempt. */
    public void recordEvent(long nowMillis) {
        if (lastEventMillis != NO_EVENT) {
            usualGapMillis += GAP_WEIGHT * (nowMillis - lastEventMillis - usualGapMillis);
        }
        lastEventMillis = nowMillis;
    }

    /** Records that an attempt was abandoned as stalled. */
    public void recordStall() {
        stallCount++;
    }

    /** Records that another attempt starts, whose first event says nothing about the pace of a stream. */
    public void recordAttempt() {
        lastEventMillis = NO_EVENT;
    }

    /** Returns how long the attempt may be silent between two events. */
    public long stallMillis() {
        return stallMillis(1);
    }

    /**
     * Returns how long the attempt may be silent between two events on an upstream of known pace. Answers upstreams
     * that become slower by a multiple for fractions of a second: their streams go on, only later.
     *
     * @param pace expected duration of work on the upstream, 1 is usual
     */
    public long stallMillis(double pace) {
        double usual = Math.max(STALL_FRACTION * gapTargetMillis, STALL_GAP_FACTOR * usualGapMillis);
        double atPace = usual * Math.max(1, pace);
        double afterStalls = atPace * (1 << Math.min(stallCount, MAX_DOUBLINGS));
        return Math.min(Math.round(afterStalls), MAX_GAP_TARGETS * gapTargetMillis);
    }

    /**
     * Returns how long the first event of an attempt may take, while the upstream is known to be alive.
     *
     * @param expectedPrefillMillis expected time for all prompts that the upstream has to prefill
     */
    public long firstEventMillis(long expectedPrefillMillis) {
        return FIRST_EVENT_SLACK_MILLIS + PREFILL_FACTOR * expectedPrefillMillis;
    }
}
