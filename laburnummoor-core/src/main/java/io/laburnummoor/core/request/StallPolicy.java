package io.laburnummoor.core.request;

/** Decides how long an attempt may stay silent before it is suspected to have paused. */
public interface StallPolicy {
    /** Returns the time at which an attempt that was started now and gives no first token becomes suspect. */
    long firstTokenDeadlineMillis(long nowMillis);

    /** Returns the time at which an attempt that gave a token now and gives no further one becomes suspect. */
    long nextTokenDeadlineMillis(long nowMillis);
}
