package io.laburnummoor.core.request;

/**
 * What a router may do with a request whose attempt failed. Each implementation stands for one declared kind of
 * request.
 */
public interface RepeatRule {
    /** Requests that may run any number of times. */
    RepeatRule IDEMPOTENT = new IdempotentRule();
    /** Requests that run at most once. */
    RepeatRule AT_MOST_ONCE = new AtMostOnceRule();
    /** Streams that may be continued on another upstream after the last delivered event. */
    RepeatRule RESUMABLE = new ResumableRule();

    /**
     * Returns whether the request may be sent again after an attempt that may have run, or that ran and failed.
     */
    boolean repeatsAfterRun();

    /** Returns whether events that were delivered may be followed by those of another attempt. */
    boolean continuesStream();
}
