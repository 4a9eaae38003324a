package io.laburnummoor.core.process;

import io.laburnummoor.core.request.Urgency;
import io.laburnummoor.core.request.WaitingRequest;

/** Creates waiting requests for tests. */
final class WaitingRequests {
    static final String SERVICE = "desk";

    private WaitingRequests() {}

    /** Returns a request of the service {@link #SERVICE}; the goal lies the given time after its arrival. */
    static WaitingRequest of(
            int urgency, String organisation, String caller, long tokens, long sinceMillis, long goalMillis) {
        return of(urgency, organisation, caller, tokens, sinceMillis, goalMillis, 1);
    }

    static WaitingRequest of(
            int urgency,
            String organisation,
            String caller,
            long tokens,
            long sinceMillis,
            long goalMillis,
            long bytes) {
        return new WaitingRequest(
                SERVICE,
                new Urgency(urgency),
                organisation,
                caller,
                tokens,
                sinceMillis,
                sinceMillis + goalMillis,
                bytes);
    }
}
