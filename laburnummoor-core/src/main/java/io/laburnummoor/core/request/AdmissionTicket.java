package io.laburnummoor.core.request;

import io.laburnummoor.core.ErrorCode;

/**
 * One request's place in the admission of a router.
 *
 * @param service name of the service
 * @param organisation name of the organisation
 * @param caller name of the caller inside the organisation
 * @param priority priority class
 * @param tokens greatest number of tokens that the request may generate
 * @param listener told once whether the request may start
 */
public record AdmissionTicket(
        String service, String organisation, String caller, Priority priority, int tokens, Listener listener) {

    /** Learns the decision about a ticket. */
    public interface Listener {
        /** The request may start; its end has to be reported. */
        void onGranted();

        /** The request may not start. */
        void onRefused(ErrorCode code, String detail, long retryAfterMillis);
    }

    /** Tickets are told apart by identity: a caller may have several equal requests. */
    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }
}
