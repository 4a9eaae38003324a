package io.laburnummoor.router.request;

import java.util.Base64;
import java.util.HashSet;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.connection.UpstreamState;
import io.laburnummoor.core.process.ClaimPolicy;
import io.laburnummoor.core.process.RendezvousHash;
import io.laburnummoor.core.request.CallEffects;
import io.laburnummoor.core.request.ClaimOutcome;
import io.laburnummoor.core.request.ClaimRecord;
import io.laburnummoor.core.request.ClaimState;
import io.laburnummoor.core.request.NonIdempotentCall;
import io.laburnummoor.core.request.RecordedResult;
import io.laburnummoor.core.request.SerialExecutor;
import io.laburnummoor.wire.request.PlainCallListener;
import io.laburnummoor.wire.request.PlainResponse;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Executes the decisions of one {@link NonIdempotentCall}: claims, dispatches, records and answers the call. */
public final class NonIdempotentCallSession implements CallEffects {
    private static final Logger LOGGER = Logger.getLogger(NonIdempotentCallSession.class);
    private static final int MAX_REFUSALS = 3;
    private static final long RELEASE_WAIT_MILLIS = 1_000;

    private final PlainCall call;
    private final CallContext context;
    private final CallAnswer answer;
    private final NonIdempotentCall nonIdempotentCall;
    private final SerialExecutor serial =
            new SerialExecutor(failure -> LOGGER.error("internal error in a non-idempotent call", failure));
    private final Set<String> refusedUpstreamIds = new HashSet<>();
    private final long claimDeadlineMillis;
    private @Nullable PlainResponse upstreamResponse;

    /** Creates a session with a new claim, which expires at the deadline of the call or after the claim timeout. */
    public NonIdempotentCallSession(PlainCall call, long keyIssuedAtMillis, CallContext context, CallAnswer answer) {
        this.call = call;
        this.context = context;
        this.answer = answer;
        long nowMillis = context.clock().nowMillis();
        long claimMillis = Math.min(ClaimPolicy.CLAIM_TIMEOUT_MILLIS, call.deadlineMillis() - nowMillis);
        this.claimDeadlineMillis = nowMillis + claimMillis;
        this.nonIdempotentCall = new NonIdempotentCall(
                new ClaimRecord(
                        ClaimState.CLAIMED,
                        call.id(),
                        UUID.randomUUID().toString(),
                        context.routerName(),
                        call.bodyDigest(),
                        context.wallClock().nowMillis() + claimMillis,
                        null),
                context.wallClock().nowMillis() - keyIssuedAtMillis,
                this);
    }

    /** Requests the claim. */
    public void start() {
        serial.execute(nonIdempotentCall::start);
    }

    @Override
    public void claim(ClaimRecord claim) {
        long startedAtMillis = context.clock().nowMillis();
        context.claims().claim(claim, outcome -> {
            context.metrics().claimAnswered(outcome.kind(), context.clock().nowMillis() - startedAtMillis);
            onOutcome(outcome);
        });
        ClaimOutcome timedOut = ClaimOutcome.of(ClaimOutcome.Kind.UNAVAILABLE);
        context.timer()
                .schedule(
                        () -> onOutcome(timedOut),
                        Math.max(0, claimDeadlineMillis - startedAtMillis),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void dispatch() {
        long nowMillis = context.clock().nowMillis();
        UpstreamState state = nowMillis >= claimDeadlineMillis
                ? null
                : context.select(call.service(), RendezvousHash.hash(call.id().toString()), null, refusedUpstreamIds);
        if (state == null || refusedUpstreamIds.size() >= MAX_REFUSALS) {
            nonIdempotentCall.onNotSent("no upstream of " + call.service() + " accepted a connection");
            return;
        }
        state.requestStarted();
        context.client()
                .send(
                        state.upstream(),
                        call.request(),
                        false,
                        call.deadlineMillis() - nowMillis,
                        new DispatchListener(state));
    }

    @Override
    public void release(ClaimRecord released, String reason) {
        context.claims().record(released, outcome -> onReleaseOutcome(outcome, reason));
        ClaimOutcome timedOut = ClaimOutcome.of(ClaimOutcome.Kind.UNAVAILABLE);
        context.timer().schedule(() -> onReleaseOutcome(timedOut, reason), RELEASE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void record(ClaimRecord done) {
        context.claims().record(done, outcome -> {});
    }

    @Override
    public void forwardResponse() {
        PlainResponse response = upstreamResponse;
        if (response != null) {
            answer.sendResponse(response);
        }
    }

    @Override
    public void replayResult(RecordedResult result) {
        answer.sendRecordedResult(result);
    }

    @Override
    public void fail(ErrorCode code, String detail) {
        answer.sendError(code, detail);
    }

    private void onOutcome(ClaimOutcome outcome) {
        serial.execute(() ->
                nonIdempotentCall.onClaimOutcome(outcome, context.wallClock().nowMillis()));
    }

    private void onReleaseOutcome(ClaimOutcome outcome, String reason) {
        serial.execute(() -> nonIdempotentCall.onReleaseOutcome(
                outcome, reason, context.wallClock().nowMillis()));
    }

    private static RecordedResult toRecordedResult(PlainResponse response) {
        byte[] body = response.body();
        boolean recorded = body.length <= ClaimPolicy.MAX_RECORDED_BODY_BYTES;
        return new RecordedResult(
                response.status(),
                response.contentType(),
                recorded ? Base64.getEncoder().encodeToString(body) : null,
                body.length);
    }

    private final class DispatchListener implements PlainCallListener {
        private final UpstreamState state;

        DispatchListener(UpstreamState state) {
            this.state = state;
        }

        @Override
        public void onResponse(PlainResponse response) {
            state.requestEnded();
            serial.execute(() -> {
                upstreamResponse = response;
                nonIdempotentCall.onResult(toRecordedResult(response));
            });
        }

        @Override
        public void onNeverHandedOver(String reason) {
            state.requestEnded();
            state.recordFailure(context.clock().nowMillis());
            serial.execute(() -> {
                refusedUpstreamIds.add(state.upstream().id());
                dispatch();
            });
        }

        @Override
        public void onLost(String reason) {
            state.requestEnded();
            state.recordFailure(context.clock().nowMillis());
            serial.execute(() -> nonIdempotentCall.onOutcomeUnknown(reason));
        }
    }
}
