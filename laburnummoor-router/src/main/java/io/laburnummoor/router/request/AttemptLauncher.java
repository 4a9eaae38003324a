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

/** Starts and cancels the attempts of one generation; called on the serial executor of the request. */
final class AttemptLauncher {
    /** Output must resume within this time after a lost attempt; resumptions wait for permits in order of deadline. */
    private static final long RESUME_DEADLINE_MILLIS = 6_000;

    private final GenerationRequest request;
    private final GenerationContext context;
    private final SerialExecutor serial;
    private final GenerationUpstreamSelector upstreamSelector;
    private final GenerationSession session;
    private final Map<Integer, RunningAttempt> runningAttempts = new HashMap<>();
    private final Map<Integer, ResumptionLimiter.Permit> pendingPermits = new HashMap<>();
    private boolean stopped;

    AttemptLauncher(
            GenerationRequest request,
            GenerationContext context,
            SerialExecutor serial,
            GenerationUpstreamSelector placement,
            GenerationSession session) {
        this.upstreamSelector = placement;
        this.request = request;
        this.context = context;
        this.serial = serial;
        this.session = session;
    }

    /** Sends an attempt to an upstream; a resumption first waits for a permit of the retry budget. */
    void start(int attempt, Binding bound, List<Token> accepted, AttemptReason reason) {
        context.metrics().attemptStarted(reason);
        if (reason != AttemptReason.RESUME) {
            send(attempt, bound, accepted, reason, null);
            return;
        }
        // The serial executor runs the task after this method, so the permit is in the map even if granted immediately.
        long deadlineMillis = context.clock().nowMillis() + RESUME_DEADLINE_MILLIS;
        pendingPermits.put(
                attempt,
                context.resumeBudget()
                        .request(deadlineMillis, () -> serial.execute(() -> sendPermitted(attempt, bound, accepted))));
    }

    /** Cancels an attempt, whether it runs or still waits for a permit. */
    void cancel(int attempt) {
        ResumptionLimiter.Permit permit = pendingPermits.remove(attempt);
        if (permit != null) {
            permit.release();
        }
        RunningAttempt cancelled = runningAttempts.remove(attempt);
        if (cancelled != null) {
            cancelled.cancel();
        }
    }

    /** Removes a failed attempt, records the failure of its upstream and avoids the failure domain from now on. */
    void recordFailure(RunningAttempt failed, AttemptFailure failure) {
        runningAttempts.remove(failed.number());
        UpstreamState upstream = failed.upstream();
        if (failure == AttemptFailure.LEAVING) {
            upstream.recordLeaving();
        } else {
            upstream.recordFailure(context.clock().nowMillis());
        }
        upstreamSelector.avoidFailureDomain(upstream.upstream().failureDomain());
    }

    /** Releases the permits of attempts that are not sent yet. */
    void stop() {
        stopped = true;
        pendingPermits.values().forEach(ResumptionLimiter.Permit::release);
        pendingPermits.clear();
    }

    private void sendPermitted(int attempt, Binding bound, List<Token> accepted) {
        ResumptionLimiter.Permit permit = pendingPermits.remove(attempt);
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
        Set<String> excludedIds = new HashSet<>();
        if (reason == AttemptReason.HEDGE) {
            runningAttempts.values().forEach(each -> {
                excludedIds.add(each.upstream().upstream().id());
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
        UpstreamState chosen = upstreamSelector.selectUpstream(bound, excludedIds);
        if (chosen == null) {
            if (permit != null) {
                permit.release();
            }
            session.onNoUpstream(attempt, bound);
            return;
        }
        TokenLatencyTracker latencyTracker = context.latencyTrackers().apply(bound.service() + "/" + bound.version());
        RunningAttempt started = new RunningAttempt(
                attempt, chosen, latencyTracker, session, AttemptStatistics.start(bound, chosen, context));
        runningAttempts.put(attempt, started);
        if (permit != null) {
            started.setPermit(permit);
        }
        started.attach(
                context.engineClient().start(chosen.upstream(), engineRequest(bound, accepted, reason), started));
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
