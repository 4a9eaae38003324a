package io.laburnummoor.gateway.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.GuardedTask;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Measures how long each event loop is kept from its work, for example by a pause of the process. For that time
 * requests, and the closes behind them, lie unread in their sockets.
 */
final class EventLoopMonitor implements Service {
    private static final long CHECK_INTERVAL_MILLIS = 400;
    /** With the check interval, a delay of half a second is always logged. */
    private static final long LOGGED_DELAY_MILLIS = 100;

    private final EventLoopGroup eventLoops;
    private final Clock clock;
    private final GatewayMetrics metrics;
    private final DecisionLog log;
    private final List<ScheduledFuture<?>> checks = new ArrayList<>();

    EventLoopMonitor(EventLoopGroup eventLoops, GatewayContext context) {
        this.eventLoops = eventLoops;
        this.clock = context.clock();
        this.metrics = context.metrics();
        this.log = context.log();
    }

    @Override
    public void start() {
        for (EventExecutor loop : eventLoops) {
            Runnable check = new GuardedTask(new Check(clock.nowMillis()), this::onFault);
            checks.add(loop.scheduleWithFixedDelay(
                    check, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS));
        }
    }

    @Override
    public void stop() {
        checks.forEach(each -> each.cancel(false));
    }

    private void onFault(Throwable fault) {
        log.line("event_loop_check_fault").text("error", fault.toString()).write();
    }

    /** Compares the time of each run with the time at which it was due. Confined to its event loop. */
    private final class Check implements Runnable {
        private long lastRunMillis;

        private Check(long startMillis) {
            this.lastRunMillis = startMillis;
        }

        @Override
        public void run() {
            long now = clock.nowMillis();
            long delayMillis = Math.max(0, now - lastRunMillis - CHECK_INTERVAL_MILLIS);
            lastRunMillis = now;
            metrics.eventLoopDelayed(delayMillis);
            if (delayMillis >= LOGGED_DELAY_MILLIS) {
                log.line("event_loop_delayed")
                        .text("loop", Thread.currentThread().getName())
                        .number("delay_ms", delayMillis)
                        .write();
            }
        }
    }
}
