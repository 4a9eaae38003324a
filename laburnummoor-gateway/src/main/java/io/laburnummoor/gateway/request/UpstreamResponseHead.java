package io.laburnummoor.gateway.request;

import io.laburnummoor.core.connection.ReportedLoad;
import org.jspecify.annotations.Nullable;

/**
 * Decoded head of an upstream's response.
 *
 * @param status HTTP status
 * @param attemptId id of the attempt that the response belongs to, or null if it has none
 * @param sealed whether the response has the upstream's signature
 * @param notExecuted whether the upstream states that the request did not and will not run
 * @param wrongIncarnation whether another incarnation now uses the upstream's address
 * @param leaving whether the upstream announces that it leaves and wants no more requests
 * @param holdOffMillis time for which the upstream, which refused the request, wants no further one; 0 for none
 * @param contentEncoded whether the body has a content encoding, so that it differs from the bytes that the upstream
 *     produced
 * @param load load of the upstream, or null if it reports none
 * @param malformedLoad whether a figure of the reported load could not be read and counts as absent
 * @param keepAliveSeconds time that the upstream keeps an idle connection open; 0 if it does not announce one
 */
public record UpstreamResponseHead(
        int status,
        @Nullable String attemptId,
        boolean sealed,
        boolean notExecuted,
        boolean wrongIncarnation,
        boolean leaving,
        long holdOffMillis,
        boolean contentEncoded,
        @Nullable ReportedLoad load,
        boolean malformedLoad,
        int keepAliveSeconds) {
    /** Returns whether the status is a 2xx one. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
