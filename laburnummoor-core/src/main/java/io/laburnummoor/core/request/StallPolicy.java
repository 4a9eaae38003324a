package io.laburnummoor.core.request;

/** Decides how long an attempt may make no progress before it is considered stalled. */
public interface StallPolicy {
    /** Returns the time at which an attempt that was started now and produces no first token is considered stalled. */
    long firstTokenDeadlineMillis(long nowMillis);

    /** Returns the time at which an attempt that produced a token now and no further one is considered stalled. */
    long nextTokenDeadlineMillis(long nowMillis);
}
