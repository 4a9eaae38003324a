package io.laburnummoor.router.process;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.request.IdempotencyKey;
import io.laburnummoor.router.request.CallAnswer;
import io.laburnummoor.router.request.CallContext;
import io.laburnummoor.router.request.IdempotentCallSession;
import io.laburnummoor.router.request.NonIdempotentCallSession;
import io.laburnummoor.router.request.PlainCall;
import jakarta.ws.rs.container.AsyncResponse;

/** Starts calls to plain services, counts the running ones and drains them at a stop. */
public final class PlainCalls implements Service {
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 10;

    private final CallContext context;
    private final long drainMillis;
    private final AtomicInteger runningCount = new AtomicInteger();
    private final AtomicBoolean stopping = new AtomicBoolean();

    /**
     * Creates an instance without running calls.
     *
     * @param drainMillis time for which a stop waits for running calls
     */
    public PlainCalls(CallContext context, long drainMillis) {
        this.context = context;
        this.drainMillis = drainMillis;
    }

    /** Returns the objects that all calls of this router share. */
    public CallContext context() {
        return context;
    }

    /**
     * Starts a call.
     *
     * @throws LaburnummoorException with code {@code stopping} if this router is stopping
     */
    public void submit(PlainCall call, boolean idempotent, AsyncResponse response) {
        runningCount.incrementAndGet();
        if (stopping.get()) {
            runningCount.decrementAndGet();
            // The code is not "not_run", because another router may have run an earlier attempt with the same key.
            throw new LaburnummoorException(ErrorCode.STOPPING, "this router is stopping");
        }
        CallAnswer answer = new CallAnswer(response, idempotent, context.metrics(), runningCount::decrementAndGet);
        if (idempotent) {
            new IdempotentCallSession(call, context, answer).start();
        } else {
            long issuedAtMillis = IdempotencyKey.parse(call.id().key()).issuedAtMillis();
            new NonIdempotentCallSession(call, issuedAtMillis, context, answer).start();
        }
    }

    @Override
    public void start() {}

    /** Rejects new calls and waits for the running ones for at most the drain time. */
    @Override
    public void stop() {
        stopping.set(true);
        long deadlineMillis = context.clock().nowMillis() + drainMillis;
        try {
            while (runningCount.get() > 0 && context.clock().nowMillis() < deadlineMillis) {
                Thread.sleep(DRAIN_POLL_INTERVAL_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        ScheduledExecutorService timer = context.timer();
        timer.shutdown();
    }
}
