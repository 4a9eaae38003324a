package io.laburnummoor.gateway.request;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/** The pending look for an upstream that continues a stream; there is one at most. Confined to the event loop. */
final class ResumptionWait {
    private static final long INTERVAL_MILLIS = 100;

    private final EventLoop loop;
    private final Runnable resume;
    private @Nullable ScheduledFuture<?> pending;

    ResumptionWait(EventLoop loop, Runnable resume) {
        this.loop = loop;
        this.resume = resume;
    }

    boolean isPending() {
        return pending != null;
    }

    void schedule() {
        if (pending == null) {
            pending = loop.schedule(this::run, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void run() {
        pending = null;
        resume.run();
    }

    void cancel() {
        if (pending != null) {
            pending.cancel(false);
            pending = null;
        }
    }
}
