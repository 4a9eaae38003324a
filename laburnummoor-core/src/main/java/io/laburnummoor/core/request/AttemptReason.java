package io.laburnummoor.core.request;

/** Why an attempt is started. */
public enum AttemptReason {
    /** First attempt of the answer on this router. */
    FIRST,
    /** The previous attempt was lost. */
    RESUME,
    /** The running attempt has produced no token in time, for instance because its engine has paused. */
    HEDGE
}
