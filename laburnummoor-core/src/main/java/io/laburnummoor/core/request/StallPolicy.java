package io.laburnummoor.core.request;

/** Decides how long an attempt may produce no token before it is considered stalled. */
public interface StallPolicy {
    /** Returns the time at which an attempt started now is considered stalled if it has produced no token. */
    long firstTokenDeadlineMillis(long nowMillis);

    /** Returns the time at which an attempt that produced a token now is considered stalled without another one. */
    long nextTokenDeadlineMillis(long nowMillis);
}
