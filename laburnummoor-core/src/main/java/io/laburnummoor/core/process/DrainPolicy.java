package io.laburnummoor.core.process;

import io.laburnummoor.core.version.ForwardRoute;

/** Decides which requests a stopping router still takes: those that will have ended when the process must. */
public final class DrainPolicy {
    /** Time that is kept for closing sockets and writing the last log lines. */
    public static final long STOP_MARGIN_MILLIS = 700;
    /** Streams last for seconds; one that begins later would be cut off by the end of the process. */
    private static final long STREAM_ACCEPT_MILLIS = 1_000;

    private DrainPolicy() {}

    /**
     * Returns whether a request is taken.
     *
     * @param sinceStopMillis time since the stop signal
     * @param stopMillis time from the stop signal to the kill signal
     */
    public static boolean accepts(ForwardRoute route, long sinceStopMillis, long stopMillis) {
        return route.streaming()
                ? sinceStopMillis <= STREAM_ACCEPT_MILLIS
                : sinceStopMillis + route.timeoutMillis() <= stopMillis - STOP_MARGIN_MILLIS;
    }
}
