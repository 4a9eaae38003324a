package io.laburnummoor.core.request;

/** How an attempt on an upstream ended without completing the answer. */
public enum AttemptFailure {
    /** The upstream refused the attempt before running it. */
    REFUSED,
    /** The upstream refused the attempt before running it because it is shutting down. */
    LEAVING,
    /** The connection broke, or ended before the end of the answer. */
    CONNECTION_LOST,
    /** The upstream answered with an error or a malformed message. */
    UPSTREAM_ERROR
}
