package io.laburnummoor.gateway.process;

import java.util.Locale;

/** How the wait of a request for a place has ended. */
public enum WaitOutcome {
    /** A place became free. */
    GRANTED,
    /** No place became free in time; the request is sent as if nothing were known about the upstreams. */
    SENT_UNPLACED,
    /** The request was refused. */
    REFUSED,
    /** The caller disconnected, or the request ended for another reason. */
    LEFT;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
