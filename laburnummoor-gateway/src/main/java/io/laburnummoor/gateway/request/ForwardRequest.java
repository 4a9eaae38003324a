package io.laburnummoor.gateway.request;

import io.laburnummoor.core.process.RendezvousHash;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.apache.commons.codec.digest.MurmurHash3;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request as it arrived.
 *
 * @param id id of the caller's attempt
 * @param method HTTP method
 * @param target path and query, unchanged
 * @param headers headers as they arrived
 * @param body whole body
 * @param callerHead what the headers say
 * @param organisation organisation of the caller, or null
 * @param arrivedMillis monotonic time at which the whole head had arrived
 */
public record ForwardRequest(
        String id,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        byte[] body,
        CallerRequestHead callerHead,
        @Nullable String organisation,
        long arrivedMillis) {
    /** Returns a digest that stays the same when the caller sends the request again under another id. */
    String fingerprint() {
        long head = RendezvousHash.hash(method + " " + target + " " + organisation);
        long[] content = MurmurHash3.hash128x64(body, 0, body.length, Long.hashCode(head));
        return Long.toHexString(head) + Long.toHexString(content[0]);
    }
}
