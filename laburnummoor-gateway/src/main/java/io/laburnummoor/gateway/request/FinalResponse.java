package io.laburnummoor.gateway.request;

import io.laburnummoor.core.request.AttemptLedger;
import io.laburnummoor.core.version.ForwardRoute;
import org.jspecify.annotations.Nullable;

/** Gives the caller the best answer that is true once no further attempt is made. */
final class FinalResponse {
    private final ForwardCodec codec;
    private final CallerExchange exchange;
    private final ForwardRoute route;
    private final AttemptLedger ledger;
    private @Nullable UpstreamResponse upstreamFailure;

    FinalResponse(ForwardCodec codec, CallerExchange exchange, ForwardRoute route, AttemptLedger ledger) {
        this.codec = codec;
        this.exchange = exchange;
        this.route = route;
        this.ledger = ledger;
    }

    /** Keeps the latest failure of an upstream, which the caller gets if no attempt succeeds. */
    void recordUpstreamFailure(UpstreamResponse response) {
        release();
        upstreamFailure = response;
    }

    /** Passes on an upstream's whole answer. */
    void forward(UpstreamResponse response) {
        exchange.sendResponse(
                response.head().status(), codec.encodeCallerResponse(response.headers()), response.body());
    }

    /**
     * Answers with the kept failure if it may be passed on, and otherwise for the system itself.
     *
     * @param timedOut whether the request's deadline has passed
     * @return the status that the caller gets
     */
    int fail(String code, long retryAfterMillis, boolean timedOut) {
        UpstreamResponse fallback = upstreamFailure;
        if (fallback != null && fallback.mayBeForwarded(route.repeatRule())) {
            upstreamFailure = null;
            forward(fallback);
            return fallback.head().status();
        }
        LocalReply reply = localReply(code, retryAfterMillis, timedOut);
        exchange.sendLocalReply(reply);
        return reply.status();
    }

    private LocalReply localReply(String code, long retryAfterMillis, boolean timedOut) {
        if (ledger.mayPromiseNotRun()) {
            return LocalReply.notRun(code, retryAfterMillis);
        }
        return timedOut ? LocalReply.timedOut() : LocalReply.upstreamLost(code);
    }

    /** Releases a kept failure. */
    void release() {
        if (upstreamFailure != null) {
            upstreamFailure.body().release();
            upstreamFailure = null;
        }
    }
}
