package io.laburnummoor.core.request;

/** What is known about one attempt of a forwarded request. */
public enum AttemptStatus {
    /** No byte of the request has left for the upstream. */
    NOT_SENT,
    /** Bytes have left; nothing is known yet. */
    SENT,
    /** The upstream states that it did not and will not run the request. */
    NOT_EXECUTED,
    /** The upstream ran the request and its whole answer, good or bad, is here. */
    ANSWERED,
    /** The request may have run; its answer is lost. */
    UNKNOWN;

    /** Returns whether the upstream may have run the request. */
    public boolean mayHaveRun() {
        return this == SENT || this == ANSWERED || this == UNKNOWN;
    }
}
