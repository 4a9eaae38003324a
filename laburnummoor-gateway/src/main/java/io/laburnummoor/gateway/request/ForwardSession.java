package io.laburnummoor.gateway.request;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.request.AttemptHistory;
import io.laburnummoor.core.request.AttemptStatus;
import io.laburnummoor.core.version.ForwardRoute;
import io.laburnummoor.core.version.ForwardService;
import io.laburnummoor.gateway.connection.EventFramer;
import io.laburnummoor.gateway.connection.UpstreamConnection;
import io.laburnummoor.gateway.connection.UpstreamPool;
import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * One forwarded request: starts attempts, forwards the response, and retries or resumes on another upstream after a
 * loss where the route allows it. Confined to the event loop of the caller's connection.
 */
public final class ForwardSession {
    private static final long RETRY_AFTER_FULL_MILLIS = 150;
    static final String QUARANTINED = "request_quarantined";

    private final GatewayContext context;
    private final CallerExchange exchange;
    private final ForwardRequest request;
    private final ForwardRoute route;
    private final AttemptLauncher launcher;
    private final AttemptMonitor monitor;
    private final AttemptHistory history;
    private final FinalResponse finalResponse;
    private final RequestTrace trace;
    private final CrashReporter crashReporter;
    private final StreamDelivery delivery;
    private final RunningAttempts running = new RunningAttempts();
    private final RetryGate retries;
    private final AdmissionStep admission;
    private final ResumptionWait resumptionWait;
    private final ScheduledFuture<?> deadlineTimer;
    private @Nullable InstanceState resumeBackup;
    private boolean done;

    /** Creates a session for a request whose route and service are known. */
    public ForwardSession(
            GatewayContext context,
            EventLoop loop,
            UpstreamPool pool,
            CallerExchange exchange,
            ForwardRequest request,
            ForwardRoute route,
            ForwardService service) {
        this.context = context;
        this.exchange = exchange;
        this.request = request;
        this.route = route;
        this.launcher = new AttemptLauncher(context, loop, pool, request, route, service);
        this.history = new AttemptHistory(route.retryPolicy(), route.maxUpstreams());
        this.finalResponse = new FinalResponse(context.headerCodec(), exchange, route, history);
        this.crashReporter = new CrashReporter(context, loop, pool, request, service.name());
        this.trace = new RequestTrace(context, request, route, service.name());
        this.retries = new RetryGate(context, service.name(), history, crashReporter, request.deadlineMillis(route));
        this.admission = new AdmissionStep(
                this, context, loop, exchange, request, route, service, launcher, history, crashReporter);
        this.resumptionWait = new ResumptionWait(loop, exchange.guarded(this::resume));
        this.monitor = AttemptMonitor.of(
                context,
                loop,
                pool,
                route,
                new SecondAttempts(this, context, exchange, launcher, running, retries, history, crashReporter, trace));
        this.delivery = new StreamDelivery(context, exchange, request, history, launcher, monitor, trace);
        Runnable whenOverdue = guarded(() -> fail("deadline_exceeded", 0));
        this.deadlineTimer = loop.schedule(whenOverdue, retries.remainingMillis(), TimeUnit.MILLISECONDS);
    }

    /** Starts the first attempt. */
    public void start() {
        long refusedForMillis = crashReporter.refusedForMillis();
        if (refusedForMillis > 0) {
            fail(QUARANTINED, refusedForMillis);
            return;
        }
        retries.recordRequest();
        if (launcher.needsLookup() && !exchange.isConnected()) {
            onCallerDisconnected();
            return;
        }
        launcher.prepare(guarded(() -> {
            if (!done) {
                startAttempt("first");
            }
        }));
    }

    /** Cancels all attempts, since the caller has disconnected. */
    public void onCallerDisconnected() {
        if (!done) {
            finish(RequestTrace.CALLER_GONE, 0);
        }
    }

    /** Sends the final response now, since the process ends; a stream that has started is cut off. */
    public void onProcessEnding() {
        if (!done) {
            end("stopping", 0);
        }
    }

    /** Applies backpressure: reads from the upstream only while the caller's connection is writable. */
    public void onWritabilityChanged(boolean writable) {
        running.setAutoRead(writable);
    }

    /** Returns a task for a timer or a callback, which would only print a fault of it. */
    Runnable guarded(Runnable task) {
        return exchange.guarded(task);
    }

    private long now() {
        return context.clock().nowMillis();
    }

    private void startAttempt(String reason) {
        admission.enter(reason, delivery.isStarted(), () -> sendAttempt(reason));
    }

    private void sendAttempt(String reason) {
        InstanceState backup = launcher.usableBackup(resumeBackup);
        InstanceState target = backup != null ? backup : launcher.selectUpstream();
        if (target == null) {
            fail("no_upstream", launcher.retryAfterMillis());
            return;
        }
        resumeBackup = null;
        resumptionWait.cancel();
        Attempt attempt = newAttempt(target, backup != null);
        running.startCurrent(attempt);
        monitor.started(attempt);
        connect(attempt, reason, connection -> onConnected(attempt, connection));
    }

    Attempt newAttempt(InstanceState target, boolean fromBackup) {
        return launcher.newAttempt(
                this, target, fromBackup, history.addAttempt(target.instance().id()));
    }

    void connect(Attempt attempt, String reason, Consumer<@Nullable UpstreamConnection> consumer) {
        trace.upstreamSelected(attempt, reason, delivery.lastEventId());
        launcher.loadChanged();
        launcher.connect(attempt, history.repeatsUpstream(attempt.number()), consumer);
    }

    void onConnected(Attempt attempt, @Nullable UpstreamConnection connection) {
        if (attempt.hasEnded() || done) {
            if (connection != null) {
                connection.returnToPool();
            }
        } else if (connection == null) {
            onUnreachable(attempt, "no connection");
        } else if (!exchange.isConnected()) {
            connection.returnToPool();
            onCallerDisconnected();
        } else if (!attempt.target().acceptsRequests(now())) {
            connection.returnToPool();
            onWithdrawn(attempt);
        } else {
            history.record(attempt.number(), AttemptStatus.SENT);
            attempt.send(
                    connection,
                    launcher.buildRequest(attempt, retries.remainingMillis(), delivery.lastEventId()),
                    request.id());
        }
    }

    /** Continues the request with an attempt that is connected, in place of a silent one. */
    void replace(Attempt silent, String cause, Attempt replacement, UpstreamConnection connection) {
        launcher.recordMissingFirstEvent(silent);
        silent.cancel();
        endLost(silent, cause);
        resumeBackup = null;
        running.promoteOther(silent);
        monitor.replaced(replacement);
        onConnected(replacement, connection);
    }

    /** Continues the request with a replacement whose silent attempt was lost before it could be replaced. */
    void continueWith(Attempt replacement, UpstreamConnection connection) {
        resumeBackup = null;
        monitor.started(replacement);
        onConnected(replacement, connection);
    }

    boolean isDone() {
        return done;
    }

    /** Called when a second response to an earlier request was received and is skipped. */
    void onLateResponse(Attempt attempt, UpstreamResponseHead head) {
        trace.lateResponseSkipped(attempt, head);
    }

    void onEvent(Attempt attempt, UpstreamResponseHead head, HttpHeaders headers, EventFramer.Event event) {
        if (!delivery.isContinuedBy(event)) {
            attempt.cancel();
            onLost(attempt, "event " + event.id() + " after " + delivery.lastEventId());
            return;
        }
        delivery.deliver(attempt, head, headers, event);
        crashReporter.onProgress(attempt);
    }

    void onStreamEnd(Attempt attempt, UpstreamResponseHead head, HttpHeaders headers) {
        if (!attempt.hasEvents() && !delivery.confirmsEnd(attempt, head)) {
            onLost(attempt, "stream without events");
            return;
        }
        attempt.end();
        history.record(attempt.number(), AttemptStatus.ANSWERED);
        attempt.target().recordSuccess();
        crashReporter.onBegun();
        trace.answered(attempt);
        delivery.end(head, headers);
        finish("answered", HttpResponseStatus.OK.code());
    }

    void onFullResponse(Attempt attempt, UpstreamResponseHead head, HttpHeaders headers, ByteBuf body) {
        attempt.end();
        if (head.notExecuted()) {
            body.release();
            onNotExecuted(attempt, head);
            return;
        }
        history.record(attempt.number(), AttemptStatus.ANSWERED);
        UpstreamResponse response = new UpstreamResponse(head, headers, body);
        if (head.isSuccess()) {
            attempt.target().recordSuccess();
            crashReporter.onBegun();
            trace.answered(attempt);
            trace.responseStarted();
            launcher.recordOutcome(attempt, launcher.isSlowCall(attempt, now()));
            finalResponse.forward(response);
            finish("answered", response.head().status());
        } else {
            onUpstreamError(attempt, response);
        }
    }

    private void onUpstreamError(Attempt attempt, UpstreamResponse response) {
        int status = response.head().status();
        attempt.target().recordError();
        trace.upstreamError(attempt, status);
        launcher.recordOutcome(attempt, UpstreamResponse.isServerError(status));
        launcher.exclude(attempt);
        finalResponse.recordUpstreamFailure(response);
        boolean retryable =
                UpstreamResponse.isServerError(status) && route.retryPolicy().mayRetryAfterRun();
        retryOrFail(attempt, "upstream_error", retryable, 0);
    }

    private void onNotExecuted(Attempt attempt, UpstreamResponseHead head) {
        history.record(attempt.number(), AttemptStatus.NOT_EXECUTED);
        trace.notExecuted(attempt, head.status());
        if (launcher.recordNotExecuted(attempt, head)) {
            history.recordUpstreamEnded(attempt.instance().id());
        }
        retryOrFail(attempt, "not_executed", true, RETRY_AFTER_FULL_MILLIS);
    }

    /** Called when the upstream stopped accepting requests before this one was sent, which is no failure of it. */
    private void onWithdrawn(Attempt attempt) {
        attempt.end();
        launcher.exclude(attempt);
        trace.attemptWithdrawn(attempt);
        retryUnsent(attempt);
    }

    private void onUnreachable(Attempt attempt, String cause) {
        attempt.end();
        recordLoss(attempt, cause);
        history.recordUpstreamEnded(attempt.instance().id());
        retryUnsent(attempt);
    }

    /** Starts another attempt after one that was never sent, which takes nothing from the retry budget. */
    private void retryUnsent(Attempt attempt) {
        if (running.promoteOther(attempt)) {
            return;
        }
        if (retries.mayReplaceUnsent()) {
            startAttempt("unreachable");
        } else {
            fail("no_upstream", launcher.retryAfterMillis());
        }
    }

    /** Called when the connection broke, which may mean that the request crashed the upstream. */
    void onConnectionFailed(Attempt attempt, String cause) {
        endLost(attempt, cause);
        crashReporter.onConnectionLost(attempt, guarded(() -> retryLost(attempt)));
    }

    void onLost(Attempt attempt, String cause) {
        endLost(attempt, cause);
        retryLost(attempt);
    }

    void endLost(Attempt attempt, String cause) {
        attempt.end();
        if (done) {
            return;
        }
        history.record(attempt.number(), AttemptStatus.UNKNOWN);
        recordLoss(attempt, cause);
        if (running.isCurrent(attempt)) {
            // The engine writes the KV-cache backup of a run from its first event on.
            resumeBackup = attempt.hasEvents() ? attempt.backup() : null;
            delivery.recordLoss(now());
        }
    }

    /** Called after a loss, possibly late; the request may have gone on with another attempt meanwhile. */
    private void retryLost(Attempt attempt) {
        if (!done && running.contains(attempt) && !resumptionWait.isPending()) {
            boolean retryable = !delivery.isStarted() || route.retryPolicy().mayResumeStream();
            retryOrFail(attempt, "lost", retryable, 0);
        }
    }

    void recordLoss(Attempt attempt, String cause) {
        launcher.exclude(attempt);
        if (!delivery.hasNoMore(attempt)) {
            launcher.recordLoss(attempt);
        }
        trace.attemptLost(attempt, cause, history.status(attempt.number()), launcher.isDomainSuspect(attempt));
    }

    /** Starts another attempt after one has ended without a response for the caller, or fails the request. */
    void retryOrFail(Attempt ended, String reason, boolean retryable, long retryAfterMillis) {
        if (running.promoteOther(ended)) {
            return;
        }
        if (retryable && retries.tryRetry()) {
            startAttempt(reason);
        } else {
            fail(reason, retryAfterMillis);
        }
    }

    /** Ends the request; a stream that has started waits for an upstream to continue it. */
    void fail(String code, long retryAfterMillis) {
        boolean resumable = delivery.isStarted() && route.retryPolicy().mayResumeStream() && retries.mayRetry();
        if (resumable && delivery.mayWait(now(), code)) {
            resumptionWait.schedule();
        } else {
            end(code, retryAfterMillis);
        }
    }

    private void resume() {
        if (done || running.isRunning()) {
            return;
        }
        if (launcher.selectUpstream() != null && retries.tryRetry()) {
            startAttempt("lost");
        } else {
            fail("no_upstream", 0);
        }
    }

    /** Ends the request with the final response, or by closing the connection if a stream has started. */
    private void end(String code, long retryAfterMillis) {
        if (delivery.isStarted()) {
            exchange.abort();
        }
        finish(
                code,
                delivery.isStarted() ? 0 : finalResponse.fail(code, retryAfterMillis, retries.remainingMillis() == 0));
    }

    private void finish(String outcome, int status) {
        done = true;
        deadlineTimer.cancel(false);
        resumptionWait.cancel();
        monitor.stop();
        running.cancelAll();
        admission.end();
        finalResponse.release();
        launcher.loadChanged();
        trace.requestEnded(outcome, status, history, delivery.lastEventId(), retries.remainingMillis());
    }
}
