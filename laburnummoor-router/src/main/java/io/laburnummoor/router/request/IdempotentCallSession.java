package io.laburnummoor.router.request;

import java.util.HashSet;
import java.util.Set;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.connection.UpstreamState;
import io.laburnummoor.core.process.RendezvousHash;
import io.laburnummoor.wire.request.PlainCallListener;
import io.laburnummoor.wire.request.PlainResponse;
import org.jspecify.annotations.Nullable;

/**
 * One idempotent call. A failed attempt is retried, preferably in another failure domain, within the retry budget and
 * the deadline. Attempts run one after another, so the state needs no lock.
 */
public final class IdempotentCallSession {
    /** Minimum timeout of an attempt, unless less time is left before the deadline. */
    private static final long MIN_ATTEMPT_MILLIS = 500;

    private static final int MAX_ATTEMPTS = 4;
    private static final int STATUS_BAD_GATEWAY = 502;
    private static final int STATUS_GATEWAY_TIMEOUT = 504;

    private final PlainCall call;
    private final CallContext context;
    private final CallAnswer answer;
    private final Set<String> triedUpstreamIds = new HashSet<>();
    private @Nullable String lostFailureDomain;

    /** Creates a session that sends its result to {@code answer}. */
    public IdempotentCallSession(PlainCall call, CallContext context, CallAnswer answer) {
        this.call = call;
        this.context = context;
        this.answer = answer;
    }

    /** Sends the first attempt. */
    public void start() {
        send(1, "");
    }

    private void send(int attempt, String lastFailure) {
        long remainingMillis = call.deadlineMillis() - context.clock().nowMillis();
        if (remainingMillis <= 0) {
            answer.sendError(ErrorCode.DEADLINE_EXCEEDED, "the deadline of the call passed; " + lastFailure);
            return;
        }
        UpstreamState state = context.select(
                call.service(), RendezvousHash.hash(call.bodyDigest()), lostFailureDomain, triedUpstreamIds);
        if (state == null) {
            answer.sendError(ErrorCode.NO_UPSTREAM, "no upstream of " + call.service() + " is left; " + lastFailure);
            return;
        }
        triedUpstreamIds.add(state.upstream().id());
        // A paused upstream keeps its connections open and is only detected by the timeout. Each attempt may use half
        // of the remaining time, so that time for a retry is left.
        long timeoutMillis = Math.min(remainingMillis, Math.max(MIN_ATTEMPT_MILLIS, remainingMillis / 2));
        state.requestStarted();
        context.client().send(state.upstream(), call.request(), true, timeoutMillis, new Attempt(state, attempt));
    }

    private void retry(UpstreamState failed, int attempt, String reason, @Nullable PlainResponse response) {
        if (attempt < MAX_ATTEMPTS && context.retryBudget().tryAcquire()) {
            lostFailureDomain = failed.upstream().failureDomain();
            context.metrics().callRetried();
            send(attempt + 1, reason);
        } else if (response != null) {
            answer.sendResponse(response);
        } else {
            answer.sendError(ErrorCode.NO_UPSTREAM, "no further attempt is allowed; " + reason);
        }
    }

    private final class Attempt implements PlainCallListener {
        private final UpstreamState state;
        private final int number;

        Attempt(UpstreamState state, int number) {
            this.state = state;
            this.number = number;
        }

        @Override
        public void onResponse(PlainResponse response) {
            state.requestEnded();
            if (response.status() >= STATUS_BAD_GATEWAY && response.status() <= STATUS_GATEWAY_TIMEOUT) {
                retry(state, number, "status " + response.status(), response);
                return;
            }
            context.retryBudget().recordSuccess();
            answer.sendResponse(response);
        }

        @Override
        public void onNeverHandedOver(String reason) {
            onLost(reason);
        }

        @Override
        public void onLost(String reason) {
            state.requestEnded();
            state.recordFailure(context.clock().nowMillis());
            retry(state, number, reason, null);
        }
    }
}
