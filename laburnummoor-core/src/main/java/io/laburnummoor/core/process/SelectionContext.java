package io.laburnummoor.core.process;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Inputs to the selection of an upstream by {@link UpstreamSelector}.
 *
 * @param service name of the service
 * @param version version that the upstream must run, or null for any
 * @param adapter adapter that the upstream must have loaded, empty for none
 * @param prefixHash hash of the start of the prompt, for prefix-cache affinity
 * @param lostFailureDomain failure domain in which the request's last attempt was lost, or null
 * @param excludedIds upstreams that must not be selected
 * @param nowMillis current time of the monotonic clock
 */
public record SelectionContext(
        String service,
        @Nullable String version,
        String adapter,
        long prefixHash,
        @Nullable String lostFailureDomain,
        Set<String> excludedIds,
        long nowMillis) {}
