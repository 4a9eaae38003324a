package io.laburnummoor.gateway.request;

import io.laburnummoor.core.request.RepeatRule;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole answer of an upstream.
 *
 * @param head what the head says
 * @param headers headers as the upstream sent them
 * @param body whole body; released by whoever takes the answer
 */
record UpstreamResponse(UpstreamResponseHead head, HttpHeaders headers, ByteBuf body) {
    private static final int FIRST_SERVER_ERROR = 500;

    /** Returns whether a status says that the upstream failed. */
    static boolean isServerError(int status) {
        return status >= FIRST_SERVER_ERROR;
    }

    /**
     * Returns whether the caller may get this answer: a status that promises "not run" must not reach it if the request
     * has run and may not run again.
     */
    boolean mayBeForwarded(RepeatRule rule) {
        boolean promisesNotRun =
                switch (head.status()) {
                    case 408, 421, 429, 503 -> true;
                    default -> false;
                };
        return !promisesNotRun || rule.repeatsAfterRun();
    }
}
