package io.laburnummoor.core.process;

import io.laburnummoor.core.version.ForwardRoute;

/** Decides which requests a stopping gateway still accepts: those that can end before the kill signal. Stateless. */
public final class DrainPolicy {
    /** Time reserved for closing sockets and writing the last log lines. */
    public static final long STOP_MARGIN_MILLIS = 700;
    /**
     * Latest start of a stream after the stop signal. Streams run for seconds; a later one would be cut off by the end
     * of the process.
     */
    private static final long STREAM_ACCEPT_MILLIS = 1_000;

    private DrainPolicy() {}

    /**
     * Returns whether a request is accepted.
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
