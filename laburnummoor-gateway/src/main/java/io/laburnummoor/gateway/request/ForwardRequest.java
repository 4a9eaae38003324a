package io.laburnummoor.gateway.request;

import io.laburnummoor.core.process.RendezvousHash;
import io.laburnummoor.core.version.ForwardRoute;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.apache.commons.codec.digest.MurmurHash3;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request as received.
 *
 * @param id id of the caller's attempt
 * @param method HTTP method
 * @param target path and query, unchanged
 * @param headers headers as received
 * @param body complete body; valid until the response is queued
 * @param callerHead decoded head
 * @param organisation organisation of the caller, or null
 * @param arrivedAtMillis monotonic time at which the head was complete
 */
public record ForwardRequest(
        String id,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        ByteBuf body,
        CallerRequestHead callerHead,
        @Nullable String organisation,
        long arrivedAtMillis) {
    /** Returns when the caller stops waiting or the route's timeout ends, in monotonic time. */
    long deadlineMillis(ForwardRoute route) {
        long callerTimeoutMillis = callerHead.timeoutMillis();
        return arrivedAtMillis
                + (callerTimeoutMillis == 0
                        ? route.timeoutMillis()
                        : Math.min(callerTimeoutMillis, route.timeoutMillis()));
    }

    /**
     * Returns a digest of the request without its id, which is the same when the caller sends the request again under
     * another id.
     */
    String fingerprint() {
        long head = RendezvousHash.hash(method + " " + target + " " + organisation);
        byte[] bytes = ByteBufUtil.getBytes(body, body.readerIndex(), body.readableBytes(), false);
        long[] content = MurmurHash3.hash128x64(bytes, 0, bytes.length, Long.hashCode(head));
        return Long.toHexString(head) + Long.toHexString(content[0]);
    }
}
