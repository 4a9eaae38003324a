package io.laburnummoor.gateway.request;

import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.request.Urgency;
import org.jspecify.annotations.Nullable;

/**
 * Data that an attempt sends to an upstream in addition to the caller's request.
 *
 * @param attemptId id of the caller's attempt
 * @param instance the only incarnation of the upstream that may run the request
 * @param remainingMillis time until the deadline
 * @param organisation organisation of the caller, or null
 * @param lastEventId id of the last event that was delivered; 0 for a new stream
 * @param bodyBytes size of the body
 * @param backup upstream that is to hold the KV-cache backup of the run, or null
 * @param resumeFrom address of the upstream whose KV-cache backup the run resumes from, or null
 * @param urgency urgency of the request, or null if all requests of the service are equally urgent
 */
public record UpstreamRequestHead(
        String attemptId,
        UpstreamInstance instance,
        long remainingMillis,
        @Nullable String organisation,
        long lastEventId,
        int bodyBytes,
        @Nullable UpstreamInstance backup,
        @Nullable String resumeFrom,
        @Nullable Urgency urgency) {}
