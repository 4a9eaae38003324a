package io.laburnummoor.gateway.request;

import io.laburnummoor.core.request.AttemptHistory;
import io.laburnummoor.core.version.ForwardRoute;
import org.jspecify.annotations.Nullable;

/**
 * Sends the final response once no further attempt is made. It must not misstate whether the request has run. Confined
 * to the event loop of the session.
 */
final class FinalResponse {
    private final ForwardCodec codec;
    private final CallerExchange exchange;
    private final ForwardRoute route;
    private final AttemptHistory history;
    private @Nullable UpstreamResponse upstreamFailure;

    FinalResponse(ForwardCodec codec, CallerExchange exchange, ForwardRoute route, AttemptHistory history) {
        this.codec = codec;
        this.exchange = exchange;
        this.route = route;
        this.history = history;
    }

    /** Stores the latest error response of an upstream, which the caller gets if no attempt succeeds. */
    void recordUpstreamFailure(UpstreamResponse response) {
        release();
        upstreamFailure = response;
    }

    /** Forwards a complete response of an upstream. */
    void forward(UpstreamResponse response) {
        exchange.sendResponse(
                response.head().status(), codec.encodeCallerResponse(response.headers()), response.body());
    }

    /**
     * Sends the stored error response if it may be forwarded, and a local reply otherwise.
     *
     * @param timedOut whether the request's deadline has passed
     * @return the status that the caller gets
     */
    int fail(String code, long retryAfterMillis, boolean timedOut) {
        UpstreamResponse fallback = upstreamFailure;
        if (fallback != null && fallback.mayBeForwarded(route.retryPolicy())) {
            upstreamFailure = null;
            forward(fallback);
            return fallback.head().status();
        }
        LocalReply reply = localReply(code, retryAfterMillis, timedOut);
        exchange.sendLocalReply(reply);
        return reply.status();
    }

    private LocalReply localReply(String code, long retryAfterMillis, boolean timedOut) {
        if (history.mayReportNotRun()) {
            return LocalReply.notRun(code, retryAfterMillis);
        }
        return timedOut ? LocalReply.timedOut() : LocalReply.upstreamLost(code);
    }

    /** Releases the stored error response. */
    void release() {
        if (upstreamFailure != null) {
            upstreamFailure.body().release();
            upstreamFailure = null;
        }
    }
}
