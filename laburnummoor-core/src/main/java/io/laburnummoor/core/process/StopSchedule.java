package io.laburnummoor.core.process;

/**
 * Deadlines of a planned stop, in monotonic time.
 *
 * @param earliestCloseMillis until then the load balancer may still send callers, so connections are accepted
 * @param finalAnswersMillis requests that are still open then get their final answer without waiting any longer
 * @param closeMillis connections are closed then at the latest
 */
public record StopSchedule(long earliestCloseMillis, long finalAnswersMillis, long closeMillis) {
    /**
     * Time until the load balancer stops sending requests: it checks readiness once a second and removes a router after
     * two failed checks.
     */
    private static final long BALANCER_DETECTION_MILLIS = 2_300;
    /** Time for a timeout that falls on the end of {@link DrainPolicy} to fire late and be answered as such. */
    private static final long LATE_TIMER_MILLIS = 100;
    /** Time to write the final answers; a busy process that had not answered so before took 250 ms. */
    private static final long FINAL_WRITE_MILLIS = 250;

    /**
     * Returns the schedule of a stop.
     *
     * @param stoppedAtMillis time of the stop signal
     * @param stopMillis time from the stop signal to the kill signal
     */
    public static StopSchedule of(long stoppedAtMillis, long stopMillis) {
        long lastTimeoutMillis = stoppedAtMillis + stopMillis - DrainPolicy.STOP_MARGIN_MILLIS;
        long finalAnswersMillis = lastTimeoutMillis + LATE_TIMER_MILLIS;
        return new StopSchedule(
                Math.min(lastTimeoutMillis, stoppedAtMillis + BALANCER_DETECTION_MILLIS),
                finalAnswersMillis,
                finalAnswersMillis + FINAL_WRITE_MILLIS);
    }
}
