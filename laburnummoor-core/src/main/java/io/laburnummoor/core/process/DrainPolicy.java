package io.laburnummoor.core.process;

import io.laburnummoor.core.version.ForwardRoute;

/** Decides which requests a stopping gateway still accepts: those that can end before the kill signal. Stateless. */
public final class DrainPolicy {
    /** Time reserved for the final answers of {@link StopSchedule}, closing sockets and writing the last log lines. */
    public static final long STOP_MARGIN_MILLIS = 700;
    /**
     * Time after the stop signal for which streams are accepted in any case, since callers still get this router from
     * the load balancer. A stream that the end of the process cuts off is resumed at another router.
     */
    private static final long MIN_STREAM_ACCEPT_MILLIS = 1_000;
    /** Upper bound of that time; by then the load balancer sends callers to other routers. */
    private static final long MAX_STREAM_ACCEPT_MILLIS = 2_500;

    private DrainPolicy() {}

    /**
     * Returns whether a request is accepted.
     *
     * @param sinceStopMillis time since the stop signal
     * @param stopMillis time from the stop signal to the kill signal
     * @param expectedStreamMillis expected duration of a stream, or {@link StreamDurationEstimator#UNKNOWN_MILLIS}
     */
    public static boolean accepts(
            ForwardRoute route, long sinceStopMillis, long stopMillis, long expectedStreamMillis) {
        long endMillis = stopMillis - STOP_MARGIN_MILLIS;
        if (!route.streaming()) {
            return sinceStopMillis + route.timeoutMillis() <= endMillis;
        }
        boolean fits = expectedStreamMillis != StreamDurationEstimator.UNKNOWN_MILLIS
                && sinceStopMillis + expectedStreamMillis <= endMillis;
        return sinceStopMillis <= (fits ? MAX_STREAM_ACCEPT_MILLIS : MIN_STREAM_ACCEPT_MILLIS);
    }
}
