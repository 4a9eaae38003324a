package io.laburnummoor.core.request;

/** State of an idempotency key; a key without any record has none. */
public enum ClaimState {
    /** One router may dispatch the call; whether it did is known only to that router. */
    CLAIMED,
    /** The call has finished and its result is recorded. */
    DONE,
    /** The claimant has proved that the call was never dispatched. */
    RELEASED
}
