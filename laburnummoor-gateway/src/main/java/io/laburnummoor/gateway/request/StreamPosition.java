package io.laburnummoor.gateway.request;

import io.laburnummoor.gateway.connection.EventFramer;

/** How far the stream of one request has been delivered to its caller. Confined to the event loop of the session. */
final class StreamPosition {
    private static final long NO_LOSS = -1;
    private static final long NO_WAIT = Long.MIN_VALUE;
    /** Covers upstreams that are full or silent for a moment, and the ejection after such a silence. */
    private static final long MAX_WAIT_MILLIS = 2_000;

    private long lastEventId;
    private long lastEventMillis;
    private long lostAtMillis = NO_LOSS;
    private long waitEndMillis = NO_WAIT;
    private boolean started;

    /**
     * Creates the position of a stream that has delivered nothing.
     *
     * @param lastEventId id of the last event that the caller has, 0 for none
     */
    StreamPosition(long lastEventId, long nowMillis) {
        this.lastEventId = lastEventId;
        this.lastEventMillis = nowMillis;
    }

    long lastEventId() {
        return lastEventId;
    }

    /** Returns whether the response has been started. */
    boolean isStarted() {
        return started;
    }

    void start() {
        started = true;
    }

    /** Returns whether an event may be delivered next: it has no id or the one after the last event. */
    boolean isContinuedBy(EventFramer.Event event) {
        return !event.hasId() || lastEventId == 0 || event.id() == lastEventId + 1;
    }

    void recordDelivered(EventFramer.Event event, long nowMillis) {
        if (event.hasId()) {
            lastEventId = event.id();
            lastEventMillis = nowMillis;
            waitEndMillis = NO_WAIT;
        }
    }

    /** Starts the wait for an upstream after the last event; returns false if it has started before. */
    boolean startWait(long nowMillis) {
        if (waitEndMillis != NO_WAIT) {
            return false;
        }
        waitEndMillis = nowMillis + MAX_WAIT_MILLIS;
        return true;
    }

    boolean mayWait(long nowMillis) {
        return nowMillis < waitEndMillis;
    }

    /** Records that the running attempt was lost. */
    void recordLoss(long nowMillis) {
        lostAtMillis = nowMillis;
    }

    /** Returns whether the next event continues the stream after a loss. */
    boolean isResuming() {
        return lostAtMillis != NO_LOSS;
    }

    /** Logs the resumption. */
    void traceResumption(RequestTrace trace, Attempt attempt, long nowMillis) {
        trace.streamResumed(attempt, lastEventId, nowMillis - lastEventMillis, nowMillis - lostAtMillis);
        lostAtMillis = NO_LOSS;
    }
}
