package io.laburnummoor.core.request;

import io.laburnummoor.core.ErrorCode;

/**
 * A request that waits for admission at a router.
 *
 * @param service name of the service
 * @param organisation name of the organisation
 * @param caller name of the caller inside the organisation
 * @param priority priority class
 * @param tokens maximum number of tokens that the request may generate
 * @param listener notified once whether the request may start
 */
public record AdmissionTicket(
        String service, String organisation, String caller, Priority priority, int tokens, Listener listener) {

    /** Receives the admission decision for a ticket. */
    public interface Listener {
        /** The request may start; its end must be reported to the admission controller. */
        void onGranted();

        /** The request may not start. */
        void onRefused(ErrorCode code, String detail, long retryAfterMillis);
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
