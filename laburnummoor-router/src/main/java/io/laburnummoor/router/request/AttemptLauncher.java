package io.laburnummoor.router.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.laburnummoor.core.connection.UpstreamState;
import io.laburnummoor.core.process.ResumptionLimiter;
import io.laburnummoor.core.request.AttemptFailure;
import io.laburnummoor.core.request.AttemptReason;
import io.laburnummoor.core.request.Binding;
import io.laburnummoor.core.request.EngineRequest;
import io.laburnummoor.core.request.GenerationRequest;
import io.laburnummoor.core.request.Priority;
import io.laburnummoor.core.request.SerialExecutor;
import io.laburnummoor.core.request.Token;
import io.laburnummoor.core.version.TokenLatencyTracker;
import org.jspecify.annotations.Nullable;

/** Starts and cancels the attempts of one generation; called by the serial executor of the request. */
final class AttemptLauncher {
    /** The users' bound for output to go on after a loss; among waiting resumptions the oldest loss goes first. */
    private static final long RESUME_DEADLINE_MILLIS = 6_000;

    private final GenerationRequest request;
    private final GenerationContext context;
    private final SerialExecutor serial;
    private final UpstreamPlacement placement;
    private final GenerationSession session;
    private final Map<Integer, RunningAttempt> running = new HashMap<>();
    private final Map<Integer, ResumptionLimiter.Permit> waiting = new HashMap<>();
    private boolean stopped;

    AttemptLauncher(
            GenerationRequest request,
            GenerationContext context,
            SerialExecutor serial,
            UpstreamPlacement placement,
            GenerationSession session) {
        this.placement = placement;
        this.request = request;
        this.context = context;
        this.serial = serial;
        this.session = session;
    }

    /** Sends an attempt to an upstream; a resumption waits until the retry budget allows it. */
    void start(int attempt, Binding bound, List<Token> accepted, AttemptReason reason) {
        context.metrics().attemptStarted(reason);
        if (reason != AttemptReason.RESUME) {
            send(attempt, bound, accepted, reason, null);
            return;
        }
        // The queued task runs after this method, so it finds the permit also if it is granted at once.
        long deadlineMillis = context.clock().nowMillis() + RESUME_DEADLINE_MILLIS;
        waiting.put(
                attempt,
                context.resumptions()
                        .request(deadlineMillis, () -> serial.execute(() -> sendPermitted(attempt, bound, accepted))));
    }

    /** Cancels an attempt, also one that still waits. */
    void cancel(int attempt) {
        ResumptionLimiter.Permit permit = waiting.remove(attempt);
        if (permit != null) {
            permit.release();
        }
        RunningAttempt cancelled = running.remove(attempt);
        if (cancelled != null) {
            cancelled.cancel();
        }
    }

    /** Drops an attempt that has failed and keeps further ones away from its upstream. */
    void recordFailed(RunningAttempt failed, AttemptFailure failure) {
        running.remove(failed.number());
        UpstreamState upstream = failed.upstream();
        if (failure == AttemptFailure.LEAVING) {
            upstream.recordLeaving();
        } else {
            upstream.recordFailure(context.clock().nowMillis());
        }
        placement.avoidFailureDomain(upstream.upstream().failureDomain());
    }

    /** Gives back the permits of attempts that still wait. */
    void stop() {
        stopped = true;
        waiting.values().forEach(ResumptionLimiter.Permit::release);
        waiting.clear();
    }

    private void sendPermitted(int attempt, Binding bound, List<Token> accepted) {
        ResumptionLimiter.Permit permit = waiting.remove(attempt);
        if (permit != null && !stopped) {
            send(attempt, bound, accepted, AttemptReason.RESUME, permit);
        }
    }

    private void send(
            int attempt,
            Binding bound,
            List<Token> accepted,
            AttemptReason reason,
            ResumptionLimiter.@Nullable Permit permit) {
        Set<String> busyIds = new HashSet<>();
        if (reason == AttemptReason.HEDGE) {
            running.values().forEach(each -> {
                busyIds.add(each.upstream().upstream().id());
                each.upstream().recordStalledStream(context.clock().nowMillis());
            });
        }
        if (session.isQuarantined()) {
            if (permit != null) {
                permit.release();
            }
            serial.execute(session::failQuarantined);
            return;
        }
        UpstreamState chosen = placement.place(bound, busyIds);
        if (chosen == null) {
            if (permit != null) {
                permit.release();
            }
            session.onNoUpstream(attempt, bound);
            return;
        }
        TokenLatencyTracker pace = context.paces().apply(bound.service() + "/" + bound.version());
        RunningAttempt started =
                new RunningAttempt(attempt, chosen, pace, session, AttemptStatistics.start(bound, chosen, context));
        running.put(attempt, started);
        if (permit != null) {
            started.holdPermit(permit);
        }
        started.attach(context.engines().start(chosen.upstream(), engineRequest(bound, accepted, reason), started));
        session.onAttemptSent(attempt);
    }

    private EngineRequest engineRequest(Binding bound, List<Token> accepted, AttemptReason reason) {
        Priority priority = reason == AttemptReason.FIRST ? request.priority() : Priority.RESUMED;
        return new EngineRequest(
                bound,
                request.prompt(),
                accepted.stream().map(Token::id).toList(),
                request.maxTokens(),
                request.temperature(),
                priority);
    }
}
