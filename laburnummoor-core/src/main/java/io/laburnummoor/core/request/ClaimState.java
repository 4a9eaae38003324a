package io.laburnummoor.core.request;

/** State of a key; a key without any record has none. */
public enum ClaimState {
    /** One router may hand the call over; whether it did is known only to that router. */
    CLAIMED,
    /** The call has finished and its result is recorded. */
    DONE,
    /** The claimant has proved that the call was never handed over. */
    RELEASED
}
