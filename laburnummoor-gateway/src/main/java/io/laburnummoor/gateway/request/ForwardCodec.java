package io.laburnummoor.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Translates between the headers of one platform and the types of the gateway. */
public interface ForwardCodec {
    /** Reads the head of a caller's request. */
    CallerHead decodeCaller(HttpHeaders headers);

    /**
     * Returns the headers of a request to an upstream: those of the caller without the ones that concern one connection
     * or that only the system may set, and those of the call.
     */
    HttpHeaders encodeCall(HttpHeaders callerHeaders, UpstreamCall call);

    /** Reads the head of an upstream's answer. */
    AnswerHead decodeAnswer(HttpResponse response);

    /** Returns the headers of an upstream's answer that the caller gets. */
    HttpHeaders encodeAnswer(HttpHeaders upstreamHeaders);

    /** Returns the headers of an answer of the gateway itself, which never look like those of an upstream. */
    HttpHeaders encodeOwnAnswer(OwnAnswer answer, CallerHead caller);
}
