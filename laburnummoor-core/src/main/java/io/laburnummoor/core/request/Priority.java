package io.laburnummoor.core.request;

/** Priority class of a request, lowest first. */
public enum Priority {
    /** Requests that no user waits for. */
    BATCH,
    /** Requests that a user waits for. */
    INTERACTIVE,
    /** Generations that are resumed after an attempt was lost. */
    RESUMED
}
