package io.laburnummoor.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Translates between the headers of one platform and the types of the gateway. */
public interface ForwardCodec {
    /** Reads the head of a caller's request. */
    CallerRequestHead decodeCallerRequest(HttpHeaders headers);

    /**
     * Returns the headers of a request to an upstream: those of the caller without the ones that concern one connection
     * or that only the system may set, and those of the call.
     */
    HttpHeaders encodeUpstreamRequest(HttpHeaders callerHeaders, UpstreamRequestHead requestHead);

    /** Reads the head of an upstream's answer. */
    UpstreamResponseHead decodeUpstreamResponse(HttpResponse response);

    /** Returns the headers of an upstream's answer that the caller gets. */
    HttpHeaders encodeCallerResponse(HttpHeaders upstreamHeaders);

    /** Returns the headers of an answer of the gateway itself, which never look like those of an upstream. */
    HttpHeaders encodeLocalReply(LocalReply reply, CallerRequestHead caller);
}
