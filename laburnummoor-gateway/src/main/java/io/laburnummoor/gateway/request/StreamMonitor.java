package io.laburnummoor.gateway.request;

import java.util.concurrent.TimeUnit;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.request.StreamTimeouts;
import io.laburnummoor.core.version.ForwardRoute;
import io.laburnummoor.gateway.connection.UpstreamPool;
import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Monitors a stream that may be retried. After the first event, a long gap alone counts as a loss. Before it, the
 * engine processes the prompt and sends nothing, so new connections are opened to check whether it is still alive.
 */
final class StreamMonitor implements AttemptMonitor {
    /** Time without activity of the engine after which it is probed with a new connection. */
    private static final long PROBE_AFTER_MILLIS = 250;
    /** Failed probes in a row after which the engine may be gone; two lost packets are unlikely on a working link. */
    private static final int SUSPECT_AFTER_FAILED_PROBES = 2;
    /** Time without a connection after which the engine is gone; a sound one may be silent for a second or so. */
    private static final long GONE_AFTER_MILLIS = 2_000;

    private static final String NO_CONNECTION = "no connection while the prompt is read";

    private final EventLoop loop;
    private final GatewayContext context;
    private final Clock clock;
    private final UpstreamPool pool;
    private final Listener listener;
    private final StreamTimeouts timeouts;
    private @Nullable Attempt monitored;
    private @Nullable ScheduledFuture<?> timer;
    private int failedProbes;
    private long unreachableSinceMillis;
    private boolean probing;
    private boolean firstEventTimedOut;

    StreamMonitor(EventLoop loop, GatewayContext context, UpstreamPool pool, ForwardRoute route, Listener listener) {
        this.loop = loop;
        this.context = context;
        this.clock = context.clock();
        this.pool = pool;
        this.listener = listener;
        this.timeouts = new StreamTimeouts(route.eventGapTargetMillis());
    }

    @Override
    public void started(Attempt attempt) {
        monitored = attempt;
        failedProbes = 0;
        probing = false;
        timeouts.recordAttempt();
        schedule(Math.min(PROBE_AFTER_MILLIS, timeouts.stallMillis(paceOf(attempt))));
    }

    @Override
    public void replaced(Attempt replacement) {
        if (monitored != null && isStreaming(monitored)) {
            timeouts.recordStall();
        } else {
            firstEventTimedOut |= failedProbes < SUSPECT_AFTER_FAILED_PROBES;
        }
        started(replacement);
    }

    /** Returns whether the first event of the attempt has arrived or needs no prefill. */
    private static boolean isStreaming(Attempt attempt) {
        return attempt.hasEvents() || attempt.resumesFromBackup();
    }

    @Override
    public void progressed(long nowMillis) {
        timeouts.recordEvent(nowMillis);
    }

    @Override
    public void stop() {
        monitored = null;
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void schedule(long delayMillis) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = loop.schedule(listener.guarded(this::checkProgress), Math.max(1, delayMillis), TimeUnit.MILLISECONDS);
    }

    private void checkProgress() {
        Attempt attempt = monitored;
        if (attempt == null || attempt.hasEnded()) {
            return;
        }
        long now = clock.nowMillis();
        if (isStreaming(attempt)) {
            checkBetweenEvents(attempt, now);
        } else {
            checkBeforeFirstEvent(attempt, now);
        }
    }

    private void checkBetweenEvents(Attempt attempt, long now) {
        long silentMillis = now - attempt.lastActivityMillis();
        long stallMillis = timeouts.stallMillis(paceOf(attempt));
        if (silentMillis < stallMillis) {
            schedule(stallMillis - silentMillis);
        } else {
            reportUnresponsive(attempt, "silent");
        }
    }

    private void checkBeforeFirstEvent(Attempt attempt, long now) {
        listener.onWaiting(attempt);
        if (attempt.hasEnded()) {
            return;
        }
        if (!firstEventTimedOut && now - attempt.startedAtMillis() >= firstEventTimeoutMillis(attempt)) {
            reportUnresponsive(attempt, "no first event");
        } else {
            schedule(PROBE_AFTER_MILLIS);
        }
        long silentMillis =
                now - Math.max(attempt.startedAtMillis(), attempt.target().lastSeenMillis());
        if (silentMillis >= PROBE_AFTER_MILLIS && !probing && monitored == attempt) {
            probe(attempt);
        }
    }

    private void probe(Attempt attempt) {
        probing = true;
        pool.probe(attempt.instance(), alive -> listener.guarded(() -> onProbed(attempt, alive))
                .run());
    }

    private void onProbed(Attempt attempt, boolean alive) {
        if (monitored != attempt || attempt.hasEnded() || attempt.hasEvents()) {
            return;
        }
        probing = false;
        AttemptTiming timing = attempt.timing();
        if (timing != null) {
            timing.recordProbe(alive);
        }
        if (alive) {
            failedProbes = 0;
            attempt.target().recordLastSeen(clock.nowMillis());
        } else {
            onProbeFailed(attempt, clock.nowMillis());
        }
    }

    private void onProbeFailed(Attempt attempt, long now) {
        if (failedProbes == 0 || attempt.target().lastSeenMillis() > unreachableSinceMillis) {
            failedProbes = 0;
            unreachableSinceMillis = now;
        }
        failedProbes++;
        if (failedProbes < SUSPECT_AFTER_FAILED_PROBES) {
            probe(attempt);
        } else if (now - unreachableSinceMillis < GONE_AFTER_MILLIS) {
            reportUnresponsive(attempt, NO_CONNECTION);
        } else {
            listener.onUpstreamGone(attempt, NO_CONNECTION);
        }
    }

    /** Reports a silent attempt, and goes on monitoring it if nothing takes its place now. */
    private void reportUnresponsive(Attempt attempt, String cause) {
        listener.onUnresponsive(attempt, cause);
        if (monitored == attempt && !attempt.hasEnded()) {
            schedule(PROBE_AFTER_MILLIS);
        }
    }

    /** Returns the pace of the upstream, 1 if it is not known. */
    private double paceOf(Attempt attempt) {
        return attempt.timing() == null ? 1 : attempt.target().pace().expected(clock.nowMillis());
    }

    /** Returns how long the first event may take, by the time expected at the start or by that expected now. */
    private long firstEventTimeoutMillis(Attempt attempt) {
        long prefillTokens = context.selector().totalPrefillTokens(attempt.target());
        AttemptTiming timing = attempt.timing();
        if (timing == null) {
            return timeouts.firstEventMillis(context.prefillRate().expectedMillis(prefillTokens));
        }
        long expectedNow =
                context.selector().expectedTime().prefillMillis(attempt.target(), prefillTokens, clock.nowMillis());
        return timeouts.firstEventMillis(
                Math.max(expectedNow, Math.round(timing.expected().firstEventMillis())));
    }
}
