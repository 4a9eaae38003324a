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
    /** Failed probes in a row after which the attempt is lost; two lost packets are unlikely on a working link. */
    private static final int LOST_AFTER_FAILED_PROBES = 2;

    private final EventLoop loop;
    private final GatewayContext context;
    private final Clock clock;
    private final UpstreamPool pool;
    private final Listener listener;
    private final StreamTimeouts timeouts;
    private @Nullable Attempt monitored;
    private @Nullable ScheduledFuture<?> timer;
    private int failedProbes;
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
        schedule(Math.min(PROBE_AFTER_MILLIS, timeouts.stallMillis()));
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
        timer = loop.schedule(this::checkProgress, Math.max(1, delayMillis), TimeUnit.MILLISECONDS);
    }

    private void checkProgress() {
        Attempt attempt = monitored;
        if (attempt == null || attempt.hasEnded()) {
            return;
        }
        long now = clock.nowMillis();
        if (attempt.hasEvents() || attempt.resumesFromBackup()) {
            long silentMillis = now - attempt.lastActivityMillis();
            long stallMillis = timeouts.stallMillis();
            if (silentMillis < stallMillis) {
                schedule(stallMillis - silentMillis);
            } else if (abandoned(attempt, "silent")) {
                timeouts.recordStall();
            }
        } else {
            checkBeforeFirstEvent(attempt, now);
        }
    }

    private void checkBeforeFirstEvent(Attempt attempt, long now) {
        listener.onWaiting(attempt);
        if (attempt.hasEnded()) {
            return;
        }
        if (!firstEventTimedOut && now - attempt.startedAtMillis() >= firstEventTimeoutMillis(attempt)) {
            firstEventTimedOut = abandoned(attempt, "no first event");
            return;
        }
        long silentMillis =
                now - Math.max(attempt.startedAtMillis(), attempt.target().lastSeenMillis());
        if (silentMillis >= PROBE_AFTER_MILLIS && !probing) {
            probe(attempt);
        }
        schedule(PROBE_AFTER_MILLIS);
    }

    private void probe(Attempt attempt) {
        probing = true;
        pool.probe(attempt.instance(), alive -> {
            if (monitored != attempt || attempt.hasEnded() || attempt.hasEvents()) {
                return;
            }
            probing = false;
            failedProbes = alive ? 0 : failedProbes + 1;
            if (alive) {
                attempt.target().recordLastSeen(clock.nowMillis());
            } else if (failedProbes >= LOST_AFTER_FAILED_PROBES) {
                monitored = null;
                listener.onUpstreamGone(attempt, "no connection while the prompt is read");
            } else {
                probe(attempt);
            }
        });
    }

    /** Reports a silent attempt, and goes on monitoring it if nothing can take its place. */
    private boolean abandoned(Attempt attempt, String cause) {
        if (listener.onUnresponsive(attempt, cause)) {
            return true;
        }
        schedule(PROBE_AFTER_MILLIS);
        return false;
    }

    private long firstEventTimeoutMillis(Attempt attempt) {
        long prefillTokens = context.selector().totalPrefillTokens(attempt.target());
        return timeouts.firstEventMillis(context.prefillRate().expectedMillis(prefillTokens));
    }
}
