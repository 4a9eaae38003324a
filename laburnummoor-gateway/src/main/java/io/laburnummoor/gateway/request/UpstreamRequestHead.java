package io.laburnummoor.gateway.request;

import io.laburnummoor.core.connection.UpstreamInstance;
import org.jspecify.annotations.Nullable;

/**
 * What one attempt says to an upstream besides the caller's own request.
 *
 * @param attemptId id of the caller's attempt
 * @param instance life of the upstream that alone may run the request
 * @param remainingMillis time that is left
 * @param organisation organisation of the caller, or null
 * @param lastEventId id of the last event that was delivered; 0 to start anew
 * @param bodyBytes size of the body
 * @param backup upstream that keeps a copy of the run's memory, or null
 * @param resumeFrom address of the upstream whose copy of the run is used, or null
 */
public record UpstreamRequestHead(
        String attemptId,
        UpstreamInstance instance,
        long remainingMillis,
        @Nullable String organisation,
        long lastEventId,
        int bodyBytes,
        @Nullable UpstreamInstance backup,
        @Nullable String resumeFrom) {}
