package io.laburnummoor.gateway.request;

import io.laburnummoor.core.request.RetryPolicy;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response of an upstream.
 *
 * @param head decoded head
 * @param headers headers as received
 * @param body complete body; the receiver of the response must release it
 */
record UpstreamResponse(UpstreamResponseHead head, HttpHeaders headers, ByteBuf body) {
    private static final int FIRST_SERVER_ERROR = 500;

    /** Returns whether a status means that the upstream failed. */
    static boolean isServerError(int status) {
        return status >= FIRST_SERVER_ERROR;
    }

    /**
     * Returns whether the response may be forwarded: a status that promises that the request did not run must not reach
     * the caller if the request has run and may not run again.
     */
    boolean mayBeForwarded(RetryPolicy retryPolicy) {
        boolean promisesNotRun =
                switch (head.status()) {
                    case 408, 421, 429, 503 -> true;
                    default -> false;
                };
        return !promisesNotRun || retryPolicy.mayRetryAfterRun();
    }
}
