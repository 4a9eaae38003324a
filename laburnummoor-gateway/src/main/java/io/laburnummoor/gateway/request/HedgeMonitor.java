package io.laburnummoor.gateway.request;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Monitors an idempotent call: a hedged attempt becomes due when the first one has used a fraction of the route's
 * response goal.
 */
final class HedgeMonitor implements AttemptMonitor {
    private static final double HEDGE_GOAL_FRACTION = 0.5;
    /** Multiple of the expected time of the attempt before which a hedged one would not be faster. */
    private static final double EXPECTED_TIME_FACTOR = 1.5;

    private final EventLoop loop;
    private final long goalMillis;
    private final Listener listener;
    private @Nullable ScheduledFuture<?> timer;

    HedgeMonitor(EventLoop loop, long goalMillis, Listener listener) {
        this.loop = loop;
        this.goalMillis = goalMillis;
        this.listener = listener;
    }

    @Override
    public void started(Attempt attempt) {
        stop();
        Runnable whenDue = listener.guarded(() -> {
            if (!attempt.hasEnded()) {
                listener.onHedgeDue(attempt);
            }
        });
        timer = loop.schedule(whenDue, hedgeAfterMillis(attempt), TimeUnit.MILLISECONDS);
    }

    /** A slow upstream that was chosen nevertheless is the best one, so it gets its time, but not beyond the goal. */
    private long hedgeAfterMillis(Attempt attempt) {
        long usual = Math.round(goalMillis * HEDGE_GOAL_FRACTION);
        AttemptTiming timing = attempt.timing();
        if (timing == null) {
            return usual;
        }
        long expected = Math.round(EXPECTED_TIME_FACTOR * timing.expected().endMillis());
        return Math.max(usual, Math.min(goalMillis, expected));
    }

    @Override
    public void replaced(Attempt replacement) {}

    @Override
    public void progressed(long nowMillis) {}

    @Override
    public void stop() {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
