package io.laburnummoor.router.process;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.AdmissionController;
import io.laburnummoor.core.request.AdmissionTicket;
import io.laburnummoor.core.request.GenerationRequest;
import io.laburnummoor.core.request.Priority;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.request.ResumePosition;
import io.laburnummoor.router.connection.CallerStream;
import io.laburnummoor.router.request.GenerationContext;
import io.laburnummoor.router.request.GenerationSession;
import io.laburnummoor.wire.process.PeriodicTask;
import org.jspecify.annotations.Nullable;

/** The generations on this router by request id: those that wait for admission and those that run. */
public final class GenerationRegistry implements Service {
    private static final long TICK_INTERVAL_MILLIS = 20;

    private final GenerationContext context;
    private final AdmissionController admission;
    private final Runnable limitRefresh;
    private final long drainMillis;
    private final ConcurrentHashMap<RequestId, GenerationSession> sessions = new ConcurrentHashMap<>();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final PeriodicTask tickTask = new PeriodicTask("generation-timer", TICK_INTERVAL_MILLIS, this::tick);

    /**
     * Creates a registry.
     *
     * @param admission grants the start of a generation
     * @param limitRefresh recomputes the admission limits from the state of the upstreams; called at each tick
     * @param drainMillis time for which a stop waits for running generations
     */
    public GenerationRegistry(
            GenerationContext context, AdmissionController admission, Runnable limitRefresh, long drainMillis) {
        this.context = context;
        this.admission = admission;
        this.limitRefresh = limitRefresh;
        this.drainMillis = drainMillis;
    }

    /**
     * Submits a generation for admission, or attaches the caller to it if this router has it already.
     *
     * @param keyIsNew whether this router has just generated the idempotency key, so that no journal can exist for it
     * @return the session that serves the caller, or null if the request was rejected
     */
    public @Nullable GenerationSession submit(
            GenerationRequest request, CallerStream caller, @Nullable ResumePosition resume, boolean keyIsNew) {
        if (context.quarantine().isBlocked(GenerationSession.fingerprint(request))) {
            caller.fail(ErrorCode.REQUEST_QUARANTINED, "this request has crashed several upstreams");
            return null;
        }
        PendingGeneration pending = new PendingGeneration(request, caller, resume, keyIsNew);
        GenerationSession running =
                stopping.get() ? sessions.get(request.id()) : sessions.putIfAbsent(request.id(), pending.session);
        if (running != null) {
            return attach(running, request, caller, resume);
        }
        if (stopping.get()) {
            caller.fail(ErrorCode.STOPPING, "this router is stopping");
            return null;
        }
        admission.submit(pending.ticket);
        return pending.session;
    }

    /** Returns the number of generations that have not ended. */
    public int size() {
        return sessions.size();
    }

    @Override
    public void start() {
        tickTask.start();
    }

    /** Rejects new and waiting generations and waits for the running ones for at most the drain time. */
    @Override
    public void stop() {
        stopping.set(true);
        admission.refuseAll();
        long deadlineMillis = context.clock().nowMillis() + drainMillis;
        try {
            while (!sessions.isEmpty() && context.clock().nowMillis() < deadlineMillis) {
                Thread.sleep(TICK_INTERVAL_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        tickTask.stop();
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
        limitRefresh.run();
        admission.tick();
        Consumer<GenerationSession> onTick = GenerationSession::onTick;
        sessions.values().forEach(onTick);
    }

    /** A generation with its admission ticket; its session starts once the ticket is granted. */
    private final class PendingGeneration implements AdmissionTicket.Listener {
        private final GenerationSession session;
        private final AdmissionTicket ticket;
        private final CallerStream caller;
        private final @Nullable ResumePosition resume;
        private final boolean keyIsNew;

        PendingGeneration(
                GenerationRequest request, CallerStream caller, @Nullable ResumePosition resume, boolean keyIsNew) {
            this.caller = caller;
            this.resume = resume;
            this.keyIsNew = keyIsNew;
            // Only an offset above 0 shows that the answer had started. If offset 0 counted as well, any caller could
            // claim the priority of resumed requests.
            boolean resumed = resume != null && resume.offset() > 0;
            this.ticket = new AdmissionTicket(
                    request.service(),
                    request.id().organisation(),
                    request.caller(),
                    resumed ? Priority.RESUMED : request.priority(),
                    request.maxTokens(),
                    this);
            this.session = new GenerationSession(request, context, this::onEnd);
        }

        @Override
        public void onGranted() {
            session.start(caller, resume, keyIsNew);
        }

        @Override
        public void onRefused(ErrorCode code, String detail, long retryAfterMillis) {
            sessions.remove(session.request().id(), session);
            context.metrics().generationFailed(code);
            caller.refuse(code, detail, retryAfterMillis);
        }

        private void onEnd() {
            sessions.remove(session.request().id(), session);
            admission.release(ticket, session.acceptedTokenCount());
        }
    }
}
