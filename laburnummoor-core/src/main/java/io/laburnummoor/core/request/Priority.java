package io.laburnummoor.core.request;

/** Priority class of a request, lowest first. */
public enum Priority {
    /** Work without a waiting person. */
    BATCH,
    /** Work that a person waits for. */
    INTERACTIVE,
    /** A generation that goes on after a loss. */
    RESUMED
}
