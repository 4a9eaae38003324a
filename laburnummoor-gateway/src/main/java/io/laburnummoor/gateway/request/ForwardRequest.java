package io.laburnummoor.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request as it arrived.
 *
 * @param id id of the caller's attempt
 * @param method HTTP method
 * @param target path and query, unchanged
 * @param headers headers as they arrived
 * @param body whole body
 * @param caller what the headers say
 * @param organisation organisation of the caller, or null
 * @param arrivedMillis monotonic time at which the whole head had arrived
 */
public record ForwardRequest(
        String id,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        byte[] body,
        CallerHead caller,
        @Nullable String organisation,
        long arrivedMillis) {}
