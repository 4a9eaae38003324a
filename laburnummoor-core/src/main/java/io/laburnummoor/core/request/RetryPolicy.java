package io.laburnummoor.core.request;

/**
 * Decides what a router may do with a request whose attempt failed. Each implementation covers one declared kind of
 * request.
 */
public interface RetryPolicy {
    /** Requests that may run any number of times. */
    RetryPolicy IDEMPOTENT = new IdempotentPolicy();
    /** Requests that run at most once. */
    RetryPolicy AT_MOST_ONCE = new AtMostOncePolicy();
    /** Streams that may be continued on another upstream after the last delivered event. */
    RetryPolicy RESUMABLE = new ResumablePolicy();

    /**
     * Returns whether the request may be sent again after an attempt that may have run, or that ran and failed.
     */
    boolean mayRetryAfterRun();

    /** Returns whether events that were delivered may be followed by those of another attempt. */
    boolean mayResumeStream();
}
