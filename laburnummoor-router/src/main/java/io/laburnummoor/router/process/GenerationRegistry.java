package io.laburnummoor.router.process;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.request.GenerationRequest;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.request.ResumePosition;
import io.laburnummoor.router.connection.CallerStream;
import io.laburnummoor.router.request.GenerationContext;
import io.laburnummoor.router.request.GenerationSession;
import io.laburnummoor.wire.process.PeriodicTask;
import org.jspecify.annotations.Nullable;

/** The generations that run on this router. */
public final class GenerationRegistry implements Service {
    private static final long TICK_MILLIS = 20;

    private final GenerationContext context;
    private final long drainMillis;
    private final ConcurrentHashMap<RequestId, GenerationSession> sessions = new ConcurrentHashMap<>();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final PeriodicTask timer = new PeriodicTask("generation-timer", TICK_MILLIS, this::tick);

    /** Creates a registry whose stop waits for running generations for at most the drain time. */
    public GenerationRegistry(GenerationContext context, long drainMillis) {
        this.context = context;
        this.drainMillis = drainMillis;
    }

    /**
     * Starts a generation, or attaches the caller to it if it runs here already.
     *
     * @param keyIsNew whether this router has just made the key
     * @return the session that serves the caller, or null if the caller was refused
     */
    public @Nullable GenerationSession submit(
            GenerationRequest request, CallerStream caller, @Nullable ResumePosition resume, boolean keyIsNew) {
        GenerationSession created = new GenerationSession(request, context, () -> sessions.remove(request.id()));
        GenerationSession running =
                stopping.get() ? sessions.get(request.id()) : sessions.putIfAbsent(request.id(), created);
        if (running != null) {
            return attach(running, request, caller, resume);
        }
        if (stopping.get()) {
            caller.fail(ErrorCode.STOPPING, "this router is stopping");
            return null;
        }
        created.start(caller, resume, keyIsNew);
        return created;
    }

    /** Returns the number of running generations. */
    public int size() {
        return sessions.size();
    }

    @Override
    public void start() {
        timer.start();
    }

    /** Refuses new generations and waits for the running ones. */
    @Override
    public void stop() {
        stopping.set(true);
        long deadlineMillis = context.clock().nowMillis() + drainMillis;
        try {
            while (!sessions.isEmpty() && context.clock().nowMillis() < deadlineMillis) {
                Thread.sleep(TICK_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        timer.stop();
    }

    private GenerationSession attach(
            GenerationSession running,
            GenerationRequest request,
            CallerStream caller,
            @Nullable ResumePosition resume) {
        if (running.request().bodyDigest().equals(request.bodyDigest())) {
            running.attach(caller, resume);
        } else {
            caller.fail(ErrorCode.KEY_REUSED, "the idempotency key was used before with another body");
        }
        return running;
    }

    private void tick() {
        Consumer<GenerationSession> onTick = GenerationSession::onTick;
        sessions.values().forEach(onTick);
    }
}
