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

    private final EventLoop loop;
    private final long hedgeAfterMillis;
    private final Listener listener;
    private @Nullable ScheduledFuture<?> timer;

    HedgeMonitor(EventLoop loop, long goalMillis, Listener listener) {
        this.loop = loop;
        this.hedgeAfterMillis = Math.round(goalMillis * HEDGE_GOAL_FRACTION);
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
        timer = loop.schedule(whenDue, hedgeAfterMillis, TimeUnit.MILLISECONDS);
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
