package io.laburnummoor.gateway.request;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.request.AttemptFate;
import io.laburnummoor.core.request.AttemptLedger;
import io.laburnummoor.core.version.ForwardRoute;
import io.laburnummoor.core.version.ForwardService;
import io.laburnummoor.gateway.connection.EventFramer;
import io.laburnummoor.gateway.connection.UpstreamConnection;
import io.laburnummoor.gateway.connection.UpstreamPool;
import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * One forwarded request from its admission to its final answer: starts attempts, passes on the answer, and goes on at
 * another upstream after a loss where the route allows it. Confined to the event loop of the caller's connection.
 */
public final class ForwardSession implements AttemptWatch.Listener {
    /** Less time than this is not worth another attempt. */
    private static final long MIN_REMAINING_MILLIS = 20;

    private static final long RETRY_AFTER_FULL_MILLIS = 150;
    private static final long RETRY_AFTER_NO_UPSTREAM_MILLIS = 400;
    private static final long RETRY_AFTER_QUARANTINE_MILLIS = 2_000;
    /** A request that crashes engines does so when it begins to run; a later loss has another cause. */
    private static final int MAX_EVENTS_BEFORE_CRASH = 3;
    /** Multiple of the goal from which an answer counts as slow. */
    private static final int SLOW_GOALS = 2;

    private static final long NOT_LOST = -1;

    private final GatewayContext context;
    private final CallerExchange exchange;
    private final EventLoop loop;
    private final ForwardRequest request;
    private final ForwardRoute route;
    private final ForwardService service;
    private final AttemptLauncher launcher;
    private final AttemptWatch watch;
    private final AttemptLedger ledger;
    private final FinalAnswer answer;
    private final RequestTrace trace;
    private final CrashReporter crashes;
    private final Set<String> failedIds = new HashSet<>();
    private final long deadlineMillis;
    private final ScheduledFuture<?> deadlineTimer;

    private @Nullable Attempt current;
    private @Nullable Attempt hedge;
    private @Nullable InstanceState copy;
    private long lastEventId;
    private long lastEventMillis;
    private long lostMillis = NOT_LOST;
    private boolean streamBegun;
    private boolean done;

    /** Creates a session and counts it as open. */
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
        this.loop = loop;
        this.request = request;
        this.route = route;
        this.service = service;
        this.launcher = new AttemptLauncher(context, pool, request, route, service);
        this.watch = AttemptWatch.of(context, loop, pool, route, this);
        this.ledger = new AttemptLedger(route.repeatRule(), route.maxUpstreams());
        this.answer = new FinalAnswer(context.codec(), exchange, route, ledger);
        this.crashes = new CrashReporter(context, loop, pool, request);
        this.trace = new RequestTrace(context, request, route, service.name());
        long callerMillis = request.caller().deadlineMillis();
        long waitMillis = callerMillis == 0 ? route.timeoutMillis() : Math.min(callerMillis, route.timeoutMillis());
        this.deadlineMillis = request.arrivedMillis() + waitMillis;
        this.lastEventId = request.caller().lastEventId();
        this.lastEventMillis = request.arrivedMillis();
        this.deadlineTimer = loop.schedule(() -> giveUp("deadline_exceeded", 0), remaining(), TimeUnit.MILLISECONDS);
        context.state().requestOpened();
    }

    /** Starts the first attempt. */
    public void start() {
        if (crashes.isBlocked()) {
            giveUp("request_quarantined", RETRY_AFTER_QUARANTINE_MILLIS);
            return;
        }
        context.budget().recordRequest(service.name(), now());
        launcher.prepare(loop, () -> {
            if (!done) {
                launch("first", false);
            }
        });
    }

    /** The caller has left: all work for it ends. */
    public void callerGone() {
        if (!done) {
            finish("caller_gone", 0);
        }
    }

    /** Reads from the upstream only while the caller's connection accepts bytes. */
    public void writabilityChanged(boolean writable) {
        if (current != null) {
            current.setReading(writable);
        }
    }

    private long now() {
        return context.clock().nowMillis();
    }

    private long remaining() {
        return Math.max(0, deadlineMillis - now());
    }

    private void launch(String reason, boolean asHedge) {
        InstanceState kept = asHedge ? null : copy;
        copy = null;
        boolean fromCopy = kept != null && launcher.isUsableCopy(kept);
        InstanceState target = fromCopy ? kept : launcher.choose(failedIds);
        if (target == null) {
            if (!asHedge) {
                giveUp("no_upstream", RETRY_AFTER_NO_UPSTREAM_MILLIS);
            }
            return;
        }
        Attempt attempt = new Attempt(
                this,
                context,
                route.streaming(),
                target,
                launcher.chooseBackup(target),
                fromCopy,
                ledger.open(target.instance().id()),
                request.caller().totalTokens(),
                context.choice().promptTokens(target) + request.caller().promptTokens());
        if (asHedge) {
            hedge = attempt;
        } else {
            current = attempt;
            watch.started(attempt);
        }
        trace.chosen(attempt, reason, lastEventId);
        launcher.loadChanged();
        launcher.connect(attempt, connection -> connected(attempt, connection));
    }

    private void connected(Attempt attempt, @Nullable UpstreamConnection connection) {
        if (attempt.hasEnded() || done) {
            if (connection != null) {
                connection.cancel();
            }
        } else if (connection == null) {
            onUnreachable(attempt, "no connection");
        } else if (!attempt.target().isInService(now())) {
            connection.cancel();
            onUnreachable(attempt, "no longer listed");
        } else {
            ledger.record(attempt.number(), AttemptFate.SENT);
            attempt.send(connection, launcher.message(attempt, remaining(), lastEventId));
        }
    }

    /** Returns whether an answer belongs to this request. */
    boolean isOwnAnswer(AnswerHead head) {
        return request.id().equals(head.attemptId());
    }

    void onEvent(Attempt attempt, AnswerHead head, HttpHeaders headers, EventFramer.Event event) {
        boolean numbered = event.hasId();
        if (numbered && lastEventId > 0 && event.id() != lastEventId + 1) {
            attempt.cancel();
            onLost(attempt, "event " + event.id() + " after " + lastEventId);
            return;
        }
        long now = now();
        if (!streamBegun) {
            streamBegun = true;
            exchange.beginStream(head.status(), context.codec().encodeAnswer(headers));
            trace.begun();
            launcher.loadChanged();
            launcher.judge(attempt, launcher.isSlow(attempt, now));
            if (attempt.target().inFlightCount() == 1 && ledger.attemptCount() == 1) {
                context.pace().record(request.caller().promptTokens(), now - attempt.startedMillis());
            }
        }
        if (lostMillis != NOT_LOST) {
            trace.resumed(attempt, lastEventId, now - lastEventMillis, now - lostMillis);
            lostMillis = NOT_LOST;
        }
        lastEventId = numbered ? event.id() : lastEventId;
        lastEventMillis = now;
        exchange.writeEvents(Unpooled.wrappedBuffer(event.bytes()));
        if (!exchange.isWritable()) {
            attempt.setReading(false);
        }
    }

    void onStreamEnd(Attempt attempt) {
        if (!streamBegun) {
            onLost(attempt, "stream without events");
            return;
        }
        attempt.end();
        ledger.record(attempt.number(), AttemptFate.ANSWERED);
        attempt.target().recordSuccess();
        trace.attemptEnded("answered");
        exchange.endStream();
        finish("answered", HttpResponseStatus.OK.code());
    }

    void onWholeAnswer(Attempt attempt, AnswerHead head, HttpHeaders headers, ByteBuf body) {
        attempt.end();
        if (head.notExecuted()) {
            body.release();
            onNotExecuted(attempt, head);
            return;
        }
        ledger.record(attempt.number(), AttemptFate.ANSWERED);
        UpstreamAnswer whole = new UpstreamAnswer(head, headers, body);
        if (head.isSuccess()) {
            attempt.target().recordSuccess();
            trace.attemptEnded("answered");
            trace.begun();
            launcher.judge(attempt, now() - attempt.startedMillis() > SLOW_GOALS * route.responseGoalMillis());
            answer.deliver(whole);
            finish("answered", whole.head().status());
        } else {
            onUpstreamError(attempt, whole);
        }
    }

    private void onUpstreamError(Attempt attempt, UpstreamAnswer whole) {
        int status = whole.head().status();
        attempt.target().recordError();
        trace.upstreamError(attempt, status);
        launcher.judge(attempt, UpstreamAnswer.isServerError(status));
        failedIds.add(attempt.instance().id());
        answer.keepFailure(whole);
        boolean repeats =
                UpstreamAnswer.isServerError(status) && route.repeatRule().repeatsAfterRun();
        goOn(attempt, "upstream_error", repeats, 0);
    }

    private void onNotExecuted(Attempt attempt, AnswerHead head) {
        ledger.record(attempt.number(), AttemptFate.NOT_EXECUTED);
        trace.refused(attempt, head.status());
        if (head.wrongInstance()) {
            launcher.recordEnded(attempt);
            ledger.recordEnded(attempt.instance().id());
        } else if (!attempt.resumesFromCopy()) {
            attempt.target().recordFull(now());
            failedIds.add(attempt.instance().id());
        }
        goOn(attempt, "not_executed", true, RETRY_AFTER_FULL_MILLIS);
    }

    private void onUnreachable(Attempt attempt, String cause) {
        attempt.end();
        recordLoss(attempt, cause);
        ledger.recordEnded(attempt.instance().id());
        if (isOtherRunning(attempt)) {
            return;
        }
        if (remaining() > MIN_REMAINING_MILLIS && ledger.mayRepeat()) {
            launch("unreachable", false);
        } else {
            giveUp("no_upstream", RETRY_AFTER_NO_UPSTREAM_MILLIS);
        }
    }

    /** The connection broke, which may mean that the request crashed the upstream. */
    void onBroken(Attempt attempt, String cause) {
        if (attempt.eventCount() <= MAX_EVENTS_BEFORE_CRASH) {
            crashes.connectionBroke(attempt.instance());
        }
        onLost(attempt, cause);
    }

    void onLost(Attempt attempt, String cause) {
        attempt.end();
        if (done) {
            return;
        }
        ledger.record(attempt.number(), AttemptFate.UNKNOWN);
        recordLoss(attempt, cause);
        if (attempt == current) {
            // The engine copies a run's memory from its first event on.
            copy = attempt.hasEvents() ? attempt.backup() : null;
            lostMillis = now();
        }
        goOn(attempt, "lost", !streamBegun || route.repeatRule().continuesStream(), 0);
    }

    private void recordLoss(Attempt attempt, String cause) {
        failedIds.add(attempt.instance().id());
        launcher.recordLoss(attempt);
        trace.lost(attempt, cause, ledger.fate(attempt.number()), launcher.isDomainSuspect(attempt));
    }

    /** Starts another attempt after one has ended without an answer for the caller, or gives up. */
    private void goOn(Attempt ended, String reason, boolean repeats, long retryAfterMillis) {
        if (isOtherRunning(ended)) {
            return;
        }
        if (repeats && mayRepeatNow()) {
            launch(reason, false);
        } else {
            giveUp(reason, retryAfterMillis);
        }
    }

    /** Makes the other attempt of a hedged call the current one; returns whether there is one. */
    private boolean isOtherRunning(Attempt ended) {
        if (ended == hedge) {
            hedge = null;
        } else if (ended == current) {
            current = hedge;
            hedge = null;
        }
        return current != null && !current.hasEnded();
    }

    private boolean mayRepeatNow() {
        return remaining() > MIN_REMAINING_MILLIS
                && ledger.mayRepeat()
                && !crashes.isBlocked()
                && context.budget().tryRepeat(service.name(), now());
    }

    @Override
    public void onHedgeDue(Attempt attempt) {
        if (!done && hedge == null && attempt == current && mayRepeatNow()) {
            failedIds.add(attempt.instance().id());
            launch("hedge", true);
        }
    }

    @Override
    public void onSilent(Attempt attempt, String cause) {
        if (done || attempt != current) {
            return;
        }
        if (!exchange.isWritable()) {
            // The caller does not read, so the upstream's silence is the router's own doing.
            attempt.recordSign(now());
            watch.started(attempt);
            return;
        }
        launcher.judgeSilent(attempt);
        attempt.cancel();
        onLost(attempt, cause);
    }

    /** Ends the request with the best answer that is true. */
    private void giveUp(String code, long retryAfterMillis) {
        if (streamBegun) {
            exchange.abort();
            finish(code, 0);
            return;
        }
        finish(code, answer.giveUp(code, retryAfterMillis, remaining() == 0));
    }

    private void finish(String outcome, int status) {
        done = true;
        deadlineTimer.cancel(false);
        watch.stop();
        if (current != null) {
            current.cancel();
        }
        if (hedge != null) {
            hedge.cancel();
        }
        current = null;
        hedge = null;
        answer.release();
        context.state().requestClosed();
        launcher.loadChanged();
        trace.ended(outcome, status, ledger.attemptCount(), lastEventId, remaining());
    }
}
