package io.laburnummoor.gateway.request;

import java.util.Set;

import io.laburnummoor.core.process.RendezvousHash;
import io.laburnummoor.core.request.AttemptHistory;
import io.laburnummoor.core.request.Urgency;
import io.laburnummoor.core.request.WaitRefusal;
import io.laburnummoor.core.version.ForwardConfig;
import io.laburnummoor.core.version.ForwardRoute;
import io.laburnummoor.core.version.ForwardService;
import io.laburnummoor.gateway.process.GatewayContext;
import io.laburnummoor.gateway.process.WaitTicket;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * Step of a request between its session and the start of an attempt: the attempt starts at once if an upstream has
 * room, and waits for a place otherwise. Confined to the event loop of the session.
 *
 * <pre>
 * IDLE     no attempt is due: none was asked for, or the last one has started, or the request has ended
 * WAITING  the request is in the queue; left by a granted place, by the end of the wait, both of which start the
 *          attempt, by a refusal, which fails the request, or by the end of the request
 * </pre>
 */
final class AdmissionStep {
    /** Attempts that may wait: the request has not started, or the upstream has not run it. */
    private static final Set<String> WAITING_REASONS = Set.of("first", "not_executed");
    /** Memory of a small head with its session. */
    private static final int HEAD_BYTES = 4_096;

    private static final String FULL = "upstreams_full";
    private static final String STOPPING = "stopping";

    private final ForwardSession session;
    private final GatewayContext context;
    private final EventLoop loop;
    private final CallerExchange exchange;
    private final ForwardRequest request;
    private final ForwardRoute route;
    private final ForwardService service;
    private final AttemptLauncher launcher;
    private final AttemptHistory history;
    private final CrashReporter crashReporter;
    /** The wait in the state WAITING, null in the state IDLE. */
    private @Nullable Wait current;

    private long lastStartMillis;

    AdmissionStep(
            ForwardSession session,
            GatewayContext context,
            EventLoop loop,
            CallerExchange exchange,
            ForwardRequest request,
            ForwardRoute route,
            ForwardService service,
            AttemptLauncher launcher,
            AttemptHistory history,
            CrashReporter crashReporter) {
        this.session = session;
        this.context = context;
        this.loop = loop;
        this.exchange = exchange;
        this.request = request;
        this.route = route;
        this.service = service;
        this.launcher = launcher;
        this.history = history;
        this.crashReporter = crashReporter;
    }

    /** Starts an attempt, now or when a place is free. A stream that has started does not wait. */
    void enter(String reason, boolean streamStarted, Runnable start) {
        boolean mayWait = !streamStarted && WAITING_REASONS.contains(reason);
        if (mayWait && context.admission().mustWait(service, tokens())) {
            Wait wait = new Wait(start);
            current = wait;
            context.admission().enter(wait.ticket);
        } else {
            start(start);
        }
    }

    private void start(Runnable start) {
        lastStartMillis = now();
        start.run();
    }

    /** Ends the step, since the request has ended. */
    void end() {
        Wait wait = current;
        current = null;
        if (wait != null) {
            context.admission().leave(wait.ticket);
        }
        if (history.mayHaveRun()) {
            context.admission().requestEnded(service, now() - lastStartMillis);
        }
    }

    private long tokens() {
        return request.callerHead().totalTokens();
    }

    private WaitTicket.Facts facts() {
        ForwardConfig config = context.state().config();
        String organisation = request.organisation();
        String key = request.callerHead().apiKey();
        return new WaitTicket.Facts(
                request.id(),
                service,
                config == null ? Urgency.DEFAULT : config.urgencyOf(route, organisation),
                organisation == null ? "" : organisation,
                key == null ? "" : Long.toHexString(RendezvousHash.hash(key)),
                tokens(),
                request.fingerprint(),
                request.arrivedAtMillis(),
                route.responseGoalMillis(),
                request.deadlineMillis(route),
                request.body().readableBytes() + HEAD_BYTES);
    }

    private long now() {
        return context.clock().nowMillis();
    }

    /** One wait. The queue tells its end on another event loop, possibly after the request has ended. */
    private final class Wait implements WaitTicket.Listener {
        private final Runnable start;
        private final WaitTicket ticket;

        Wait(Runnable start) {
            this.start = start;
            this.ticket = new WaitTicket(facts(), this);
        }

        @Override
        public void onGranted() {
            end(() -> {
                launcher.readmitFull();
                if (startUnlessGone()) {
                    context.admission().placeUsed(ticket);
                } else {
                    context.admission().leave(ticket);
                }
            });
        }

        @Override
        public void onWaitEnded() {
            end(this::startUnlessGone);
        }

        /** Starts the attempt, unless its caller has disconnected or the request must not run any more. */
        private boolean startUnlessGone() {
            if (!exchange.isConnected()) {
                session.onCallerDisconnected();
                return false;
            }
            if (crashReporter.isQuarantined()) {
                session.fail(ForwardSession.QUARANTINED, 0);
                return false;
            }
            start(start);
            return true;
        }

        @Override
        public void onRefused(WaitRefusal refusal, long retryAfterMillis) {
            end(() -> session.fail(refusal == WaitRefusal.STOPPING ? STOPPING : FULL, retryAfterMillis));
        }

        /** Leaves the state WAITING on the event loop of the session, unless the request has ended meanwhile. */
        private void end(Runnable next) {
            loop.execute(exchange.guarded(() -> {
                if (current == this) {
                    current = null;
                    next.run();
                }
            }));
        }
    }
}
