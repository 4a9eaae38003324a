package io.laburnummoor.router.request;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.UpstreamSelector;
import io.laburnummoor.core.request.Answer;
import io.laburnummoor.core.request.AnswerEffects;
import io.laburnummoor.core.request.AttemptFailure;
import io.laburnummoor.core.request.AttemptReason;
import io.laburnummoor.core.request.Binding;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.GenerationRequest;
import io.laburnummoor.core.request.JournalAgent;
import io.laburnummoor.core.request.JournalOpener;
import io.laburnummoor.core.request.JournalWriter;
import io.laburnummoor.core.request.JournaledAnswer;
import io.laburnummoor.core.request.ResumePosition;
import io.laburnummoor.core.request.SerialExecutor;
import io.laburnummoor.core.request.Token;
import io.laburnummoor.core.version.TokenLatencyTracker;
import io.laburnummoor.router.connection.CallerStream;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Runs one generation on this router: opens its journal, passes events to the {@link Answer} and executes the answer's
 * decisions.
 *
 * <p>Events from all threads are serialised by one {@link SerialExecutor}.
 */
public final class GenerationSession {
    private static final Logger LOGGER = Logger.getLogger(GenerationSession.class);

    private final GenerationRequest request;
    private final GenerationContext context;
    private final Runnable endHandler;
    private final SerialExecutor serial = new SerialExecutor(this::onUnexpectedFailure);
    private final AttemptLauncher attemptLauncher;
    private final JournalOpenListener openListener = new JournalOpenListener();
    private final int nonce = ThreadLocalRandom.current().nextInt();
    private final CrashSuspectIsolation isolation;
    private final GenerationUpstreamSelector upstreamSelector;

    private @Nullable Answer answer;
    private @Nullable JournalWriter journal;
    private @Nullable Binding binding;
    private @Nullable AttachedCaller caller;
    private @Nullable ResumePosition callerPosition;
    private boolean ended;

    /** Creates a session that calls {@code endHandler} once when it has ended. */
    public GenerationSession(GenerationRequest request, GenerationContext context, Runnable endHandler) {
        this.request = request;
        this.context = context;
        this.endHandler = endHandler;
        this.isolation = new CrashSuspectIsolation(request, context.quarantine(), context.routing(), context.clock());
        this.upstreamSelector = new GenerationUpstreamSelector(request, context, isolation);
        this.attemptLauncher = new AttemptLauncher(request, context, serial, upstreamSelector, this);
    }

    /** Returns the number of tokens accepted so far; called by the end handler. */
    public int acceptedTokenCount() {
        Answer known = answer;
        return known == null ? 0 : known.accepted().size();
    }

    /** Returns the fingerprint by which the quarantine recognises crash suspects. */
    public static String fingerprint(GenerationRequest request) {
        return CrashSuspectIsolation.fingerprint(request);
    }

    /** Returns the request of this session. */
    public GenerationRequest request() {
        return request;
    }

    /**
     * Starts this session for its first caller.
     *
     * @param resume position from which the caller resumes, or null for a new answer
     * @param keyIsNew whether this router has just generated the idempotency key, so that no journal can exist
     */
    public void start(CallerStream firstCaller, @Nullable ResumePosition resume, boolean keyIsNew) {
        serial.execute(() -> {
            context.metrics().generationStarted();
            caller = newAttachedCaller(firstCaller);
            callerPosition = resume;
            if (keyIsNew) {
                openListener.onNewAnswer();
                return;
            }
            new JournalOpener(
                            context.journalPeers(), request, resume, context.routerName(), nonce, serial, openListener)
                    .start();
        });
    }

    /** Attaches another caller of the same request and replaces the previous one. */
    public void attach(CallerStream next, @Nullable ResumePosition resume) {
        serial.execute(() -> {
            Answer running = answer;
            if (ended || running == null || (running.isAttached() && resume == null)) {
                next.fail(ErrorCode.DUPLICATE_RUNNING, "a request with this idempotency key is running");
                return;
            }
            AttachedCaller previous = caller;
            if (resume != null && (journal == null || !journal.covers(resume))) {
                next.fail(ErrorCode.ANSWER_LOST, "the running answer is not the one that sent " + resume);
                return;
            }
            if (previous != null && running.isAttached()) {
                previous.stream().fail(ErrorCode.SUPERSEDED, "another connection has resumed this answer");
            }
            caller = newAttachedCaller(next);
            openCaller();
            running.onAttach(resume == null ? 0 : resume.offset());
            reportCallerAttachment();
        });
    }

    /** Handles the loss of a caller's connection. */
    public void onDisconnect(CallerStream lost) {
        serial.execute(() -> {
            if (caller != null && caller.stream() == lost && answer != null) {
                answer.onDetach(context.clock().nowMillis());
                reportCallerAttachment();
            }
        });
    }

    /** Checks deadlines and the quarantine, and sends keep-alives; called periodically. */
    public void onTick() {
        serial.execute(() -> {
            if (answer != null && !ended && isolation.isBlocked()) {
                failQuarantined();
            } else if (answer != null && !ended) {
                long nowMillis = context.clock().nowMillis();
                answer.onTick(nowMillis);
                if (caller != null && answer.isAttached()) {
                    caller.sendKeepAliveIfDue(nowMillis);
                }
            }
            if (journal != null && !ended) {
                journal.onTick(context.clock().nowMillis());
            }
        });
    }

    void onAttemptSent(int attempt) {
        serial.execute(() -> {
            if (answer != null) {
                answer.onAttemptSent(attempt, context.clock().nowMillis());
            }
        });
    }

    void onNoUpstream(int attempt, Binding bound) {
        boolean versionKnown =
                UpstreamSelector.isVersionKnown(context.routing().snapshot(), bound.service(), bound.version());
        serial.execute(() -> {
            if (answer == null) {
                return;
            }
            if (versionKnown) {
                answer.onAttemptFailed(
                        attempt, AttemptFailure.REFUSED, context.clock().nowMillis());
            } else {
                onVersionUnavailable(answer, bound);
            }
        });
    }

    void onToken(RunningAttempt attempt, int offset, Token token) {
        serial.execute(() -> {
            if (answer != null) {
                answer.onToken(attempt.number(), offset, token, context.clock().nowMillis());
            }
        });
    }

    void onEnd(RunningAttempt attempt, int tokenCount, FinishReason reason) {
        serial.execute(() -> {
            if (answer != null) {
                answer.onEnd(
                        attempt.number(), tokenCount, reason, context.clock().nowMillis());
            }
        });
    }

    void onAttemptFailed(RunningAttempt attempt, AttemptFailure failure, String detail) {
        serial.execute(() -> {
            if (answer == null || attempt.isCancelled()) {
                return;
            }
            attemptLauncher.recordFailure(attempt, failure);
            if (failure == AttemptFailure.CONNECTION_LOST) {
                isolation.recordLoss(attempt);
            }
            isolation.recordFailure(attempt);
            context.metrics().attemptLost(failure);
            String upstreamId = attempt.upstream().upstream().id();
            LOGGER.infof(
                    "attempt %d of %s on upstream %s failed: %s (%s)",
                    attempt.number(), request.id(), upstreamId, failure, detail);
            answer.onAttemptFailed(attempt.number(), failure, context.clock().nowMillis());
        });
    }

    /** Restarts on another version if no tokens have been delivered, otherwise fails the answer. */
    private void onVersionUnavailable(Answer running, Binding bound) {
        JournalWriter writer = journal;
        if (writer != null && !running.hasDelivered() && !running.isEnded()) {
            try {
                Binding next = upstreamSelector.selectBinding();
                if (!next.version().equals(bound.version())) {
                    LOGGER.infof("request %s restarts on version %s", request.id(), next.version());
                    binding = next;
                    running.restart(context.clock().nowMillis());
                    writer.restart(next);
                    return;
                }
            } catch (LaburnummoorException noOtherVersion) {
                LOGGER.debugf("no other version is available for request %s", request.id());
            }
        }
        running.onFailure(ErrorCode.VERSION_GONE, "no upstream of version " + bound.version() + " is left");
    }

    private AttachedCaller newAttachedCaller(CallerStream stream) {
        return new AttachedCaller(stream, request.id().key(), context.clock());
    }

    private void openCaller() {
        if (caller != null) {
            caller.open();
        }
    }

    private void reportCallerAttachment() {
        if (journal != null) {
            journal.reportCallerAttachment();
        }
    }

    private void startAnswer(Binding chosen, List<Token> journaled, Consumer<JournalWriter> opening) {
        TokenLatencyTracker latencyTracker = context.latencyTrackers().apply(chosen.service() + "/" + chosen.version());
        Answer created = new Answer(request.maxTokens(), journaled, latencyTracker, new Effects());
        JournalWriter writer = new JournalWriter(
                context.journalPeers(),
                request,
                context.routerName(),
                serial,
                created,
                chosen,
                nonce,
                new AnswerJournalListener(created));
        binding = chosen;
        answer = created;
        journal = writer;
        created.onAttach(callerPosition == null ? 0 : callerPosition.offset());
        opening.accept(writer);
        if (ended) {
            return;
        }
        openCaller();
        created.start(context.clock().nowMillis());
    }

    private void fail(ErrorCode code, String detail) {
        if (ended) {
            return;
        }
        if (caller != null) {
            caller.stream().fail(code, detail);
        }
        context.metrics().generationFailed(code);
        LOGGER.warnf("request %s failed: %s (%s)", request.id(), code.code(), detail);
        end();
    }

    boolean isQuarantined() {
        return isolation.isBlocked();
    }

    void failQuarantined() {
        if (answer != null) {
            answer.onFailure(ErrorCode.REQUEST_QUARANTINED, "this request has crashed several upstreams");
        }
    }

    private void end() {
        ended = true;
        attemptLauncher.stop();
        context.metrics().generationEnded();
        if (journal != null) {
            journal.stop();
        }
        isolation.release();
        endHandler.run();
    }

    private void onUnexpectedFailure(Throwable failure) {
        LOGGER.errorf(failure, "internal error while processing request %s", request.id());
        Answer running = answer;
        if (running != null && !running.isEnded()) {
            running.onFailure(ErrorCode.INTERNAL, "internal failure");
        } else {
            fail(ErrorCode.INTERNAL, "internal failure");
        }
    }

    /** Executes the decisions of the answer. */
    private final class Effects implements AnswerEffects {
        @Override
        public void startAttempt(int attempt, List<Token> accepted, AttemptReason reason) {
            Binding bound = binding;
            if (bound != null) {
                attemptLauncher.start(attempt, bound, accepted, reason);
            }
        }

        @Override
        public void cancelAttempt(int attempt) {
            attemptLauncher.cancel(attempt);
        }

        @Override
        public void appendToJournal(int offset, List<Token> tokens) {
            if (journal != null) {
                journal.append(offset, tokens);
            }
        }

        @Override
        public void finishJournal(int tokenCount, FinishReason reason) {
            if (journal != null) {
                journal.finish(tokenCount, reason);
            }
        }

        @Override
        public void deliver(int offset, List<Token> tokens) {
            if (caller != null && journal != null) {
                caller.sendTokens(offset, tokens, journal.position(offset + tokens.size()));
                context.metrics().tokensDelivered(tokens.size());
            }
        }

        @Override
        public void finish(int tokenCount, FinishReason reason) {
            if (caller != null) {
                caller.stream().finish(tokenCount, reason);
            }
            context.metrics().generationFinished();
            isolation.recordFinish();
            end();
        }

        @Override
        public void fail(ErrorCode code, String detail) {
            GenerationSession.this.fail(code, detail);
        }
    }

    /** Starts, resumes, replays or fails the answer, depending on the journal that was found. */
    private final class JournalOpenListener implements JournalOpener.Listener {
        @Override
        public void onNewAnswer() {
            try {
                startAnswer(upstreamSelector.selectBinding(), List.of(), JournalWriter::openNew);
            } catch (LaburnummoorException refused) {
                onRefused(refused.errorCode(), String.valueOf(refused.getMessage()));
            }
        }

        @Override
        public void onFinished(JournaledAnswer found) {
            if (caller != null && caller.replay(found, callerPosition)) {
                end();
            }
        }

        @Override
        public void onTakenOver(JournalAgent holder, JournaledAnswer taken) {
            context.metrics().answerTakenOver();
            startAnswer(taken.binding(), taken.tokens(), writer -> writer.continueTakenOver(holder, taken));
        }

        @Override
        public void onRefused(ErrorCode code, String detail) {
            fail(code, detail);
        }
    }
}
