package io.laburnummoor.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Converts between the headers of one platform and the types of the gateway. */
public interface ForwardCodec {
    /** Decodes the head of a caller's request. */
    CallerRequestHead decodeCallerRequest(HttpHeaders headers);

    /**
     * Returns the headers of a request to an upstream: those of the caller, without hop-by-hop headers and the ones
     * that only the system may set, and those of the attempt.
     */
    HttpHeaders encodeUpstreamRequest(HttpHeaders callerHeaders, UpstreamRequestHead requestHead);

    /** Decodes the head of an upstream's response. */
    UpstreamResponseHead decodeUpstreamResponse(HttpResponse response);

    /** Returns the headers of an upstream's response that the caller gets. */
    HttpHeaders encodeCallerResponse(HttpHeaders upstreamHeaders);

    /** Returns the headers of a local reply, which cannot be mistaken for those of an upstream. */
    HttpHeaders encodeLocalReply(LocalReply reply, CallerRequestHead caller);
}
