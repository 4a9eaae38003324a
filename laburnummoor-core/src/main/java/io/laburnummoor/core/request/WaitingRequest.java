package io.laburnummoor.core.request;

/**
 * A request that waits for a place on an upstream of its service.
 *
 * @param service name of the service
 * @param urgency urgency in relation to the other requests of the service
 * @param organisation name of the caller's organisation, empty if there is none
 * @param caller distinguishes the callers of one organisation
 * @param tokens tokens that the request occupies in the KV cache of an upstream; 0 for other requests
 * @param sinceMillis when the caller first sent the request
 * @param goalAtMillis when the response, or its first event, should begin
 * @param bytes memory that the request takes
 */
public record WaitingRequest(
        String service,
        Urgency urgency,
        String organisation,
        String caller,
        long tokens,
        long sinceMillis,
        long goalAtMillis,
        long bytes) {
    /** Returns the share of the upstreams' capacity that the request takes, at least 1. */
    public long cost() {
        return Math.max(1, tokens);
    }

    /** Compares by identity, because a caller may have several equal requests. */
    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }
}
