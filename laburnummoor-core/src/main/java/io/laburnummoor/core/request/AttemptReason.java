package io.laburnummoor.core.request;

/** Why an attempt is started. */
public enum AttemptReason {
    /** First attempt of the answer on this router. */
    FIRST,
    /** The attempt before was lost. */
    RESUME,
    /** The running attempt is silent and may have paused. */
    HEDGE
}
