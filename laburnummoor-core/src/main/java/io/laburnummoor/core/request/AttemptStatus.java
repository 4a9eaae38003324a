package io.laburnummoor.core.request;

/** What is known about one attempt of a forwarded request. */
public enum AttemptStatus {
    /** No byte of the request has been sent to the upstream. */
    NOT_SENT,
    /** Bytes of the request have been sent; the outcome is not known yet. */
    SENT,
    /** The upstream states that it did not and will not run the request. */
    NOT_EXECUTED,
    /** The upstream ran the request, and its complete response, successful or not, has been received. */
    ANSWERED,
    /** The request may have run, but its response is lost. */
    UNKNOWN;

    /** Returns whether the upstream may have run the request. */
    public boolean mayHaveRun() {
        return this == SENT || this == ANSWERED || this == UNKNOWN;
    }
}
