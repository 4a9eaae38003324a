package io.laburnummoor.gateway.request;

import io.laburnummoor.core.request.AttemptHistory;
import io.laburnummoor.core.version.ForwardRoute;
import org.jspecify.annotations.Nullable;

/** Gives the caller the best answer that is true once no further attempt is made. */
final class FinalAnswer {
    private final ForwardCodec codec;
    private final CallerExchange exchange;
    private final ForwardRoute route;
    private final AttemptHistory ledger;
    private @Nullable UpstreamAnswer failure;

    FinalAnswer(ForwardCodec codec, CallerExchange exchange, ForwardRoute route, AttemptHistory ledger) {
        this.codec = codec;
        this.exchange = exchange;
        this.route = route;
        this.ledger = ledger;
    }

    /** Keeps the latest failure of an upstream, which the caller gets if no attempt succeeds. */
    void keepFailure(UpstreamAnswer whole) {
        release();
        failure = whole;
    }

    /** Passes on an upstream's whole answer. */
    void deliver(UpstreamAnswer whole) {
        exchange.answerWhole(whole.head().status(), codec.encodeAnswer(whole.headers()), whole.body());
    }

    /**
     * Answers with the kept failure if it may be passed on, and otherwise for the system itself.
     *
     * @param timedOut whether the request's deadline has passed
     * @return the status that the caller gets
     */
    int giveUp(String code, long retryAfterMillis, boolean timedOut) {
        UpstreamAnswer known = failure;
        if (known != null && known.mayBePassedOn(route.repeatRule())) {
            failure = null;
            deliver(known);
            return known.head().status();
        }
        OwnAnswer answer = ownAnswer(code, retryAfterMillis, timedOut);
        exchange.answerOwn(answer);
        return answer.status();
    }

    private OwnAnswer ownAnswer(String code, long retryAfterMillis, boolean timedOut) {
        if (ledger.mayReportNotRun()) {
            return OwnAnswer.notRun(code, retryAfterMillis);
        }
        return timedOut ? OwnAnswer.timedOut() : OwnAnswer.upstreamLost(code);
    }

    /** Releases a kept failure. */
    void release() {
        if (failure != null) {
            failure.body().release();
            failure = null;
        }
    }
}
