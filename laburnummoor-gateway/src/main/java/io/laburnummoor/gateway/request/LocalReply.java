package io.laburnummoor.gateway.request;

/**
 * A final response made by the gateway itself.
 *
 * @param status HTTP status; 503 and 429 promise that the request did not and will not run
 * @param code stable error code
 * @param retryAfterMillis time after which the caller may retry; 0 for none
 */
public record LocalReply(int status, String code, long retryAfterMillis) {
    /** Status that promises that the request did not run. */
    static final int NOT_RUN_STATUS = 503;
    /** Status that leaves open whether the request ran. */
    static final int UPSTREAM_LOST_STATUS = 502;
    /** Status of a deadline that passed while the request may have run. */
    static final int TIMED_OUT_STATUS = 504;

    /** Minimum retry delay of a refusal; without any, the caller would retry immediately. */
    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    /** Returns a refusal that promises that the request did not run. It always has a retry delay. */
    public static LocalReply notRun(String code, long retryAfterMillis) {
        return new LocalReply(NOT_RUN_STATUS, code, Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis));
    }

    /** Returns the reply to a request that failed and may have run. */
    public static LocalReply upstreamLost(String code) {
        return new LocalReply(UPSTREAM_LOST_STATUS, code, 0);
    }

    /** Returns the reply to a request whose deadline passed and that may have run. */
    public static LocalReply timedOut() {
        return new LocalReply(TIMED_OUT_STATUS, "deadline_exceeded", 0);
    }
}
