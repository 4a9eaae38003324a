package io.laburnummoor.core.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.laburnummoor.core.ErrorCode;
import org.jspecify.annotations.Nullable;

/** A router's session that carries out the decisions of the classes under test. */
final class SimulatedSession implements AnswerEffects, JournalOpener.Listener, JournalWriter.Listener {
    private static final long TICK_MILLIS = 20;
    private static final int MAX_TOKENS = SimulatedCaller.MAX_TOKENS;
    private static final RequestId ID = new RequestId("office", "key");
    private static final GenerationRequest REQUEST =
            new GenerationRequest(ID, "drafter", "prompt", MAX_TOKENS, 0, 1L, "", Priority.INTERACTIVE, "me", "digest");
    private static final StallPolicy STALL_POLICY = new StallPolicy() {
        @Override
        public long firstTokenDeadlineMillis(long nowMillis) {
            return nowMillis + 300;
        }

        @Override
        public long nextTokenDeadlineMillis(long nowMillis) {
            return nowMillis + 120;
        }
    };

    private final SimulatedNetwork network;
    private final String routerName;
    private final Consumer<Runnable> executor;
    private final JournalAgents agents;
    private final int nonce;
    private final @Nullable ResumePosition firstResume;
    private final Consumer<SimulatedSession> endHandler;
    private final Map<Integer, Runnable> cancellations = new HashMap<>();
    private final Set<Integer> cancelled = new HashSet<>();
    private @Nullable CallerConnection attached;
    private @Nullable Answer answer;
    private @Nullable JournalWriter writer;
    private boolean ended;

    SimulatedSession(
            SimulatedNetwork network,
            String routerName,
            JournalAgents agents,
            Consumer<Runnable> executor,
            CallerConnection first,
            @Nullable ResumePosition resume,
            Consumer<SimulatedSession> endHandler) {
        this.network = network;
        this.routerName = routerName;
        this.nonce = network.random.nextInt();
        this.executor = executor;
        this.agents = agents;
        this.attached = first;
        this.firstResume = resume;
        this.endHandler = endHandler;
    }

    void start() {
        new JournalOpener(agents, REQUEST, firstResume, routerName, nonce, Runnable::run, this).start();
        network.schedule(TICK_MILLIS, () -> executor.accept(this::tick));
    }

    void attach(CallerConnection next, @Nullable ResumePosition resume) {
        Answer running = answer;
        JournalWriter journal = writer;
        if (running == null || journal == null || (running.isAttached() && resume == null)) {
            next.fail(ErrorCode.DUPLICATE_RUNNING);
        } else if (resume != null && !journal.covers(resume)) {
            next.fail(ErrorCode.ANSWER_LOST);
        } else {
            attached = next;
            running.onAttach(resume == null ? 0 : resume.offset());
            journal.reportCallerAttachment();
        }
    }

    void detach(CallerConnection broken) {
        if (attached == broken && answer != null) {
            answer.onDetach(network.nowMillis());
        }
    }

    private void tick() {
        if (ended) {
            return;
        }
        if (answer != null && writer != null) {
            answer.onTick(network.nowMillis());
            writer.onTick(network.nowMillis());
        }
        network.schedule(TICK_MILLIS, () -> executor.accept(this::tick));
    }

    private void begin(List<Token> tokens, Consumer<JournalWriter> opening) {
        Answer created = new Answer(MAX_TOKENS, tokens, STALL_POLICY, this);
        Binding binding = new Binding("drafter", "v1", "", 1);
        JournalWriter journal =
                new JournalWriter(agents, REQUEST, routerName, Runnable::run, created, binding, nonce, this);
        answer = created;
        writer = journal;
        created.onAttach(firstResume == null ? 0 : firstResume.offset());
        opening.accept(journal);
        if (!ended) {
            created.start(network.nowMillis());
        }
    }

    private void end() {
        ended = true;
        if (writer != null) {
            writer.stop();
        }
        endHandler.accept(this);
    }

    @Override
    public void onNewAnswer() {
        begin(List.of(), JournalWriter::openNew);
    }

    @Override
    public void onFinished(JournaledAnswer found) {
        CallerConnection caller = attached;
        int offset = firstResume == null ? 0 : firstResume.offset();
        if (caller != null) {
            int count = found.tokens().size();
            caller.tokens(
                    offset, found.tokens().subList(offset, count), new ResumePosition("agent0", found.epoch(), count));
            caller.finish(count);
        }
        end();
    }

    @Override
    public void onTakenOver(JournalAgent holder, JournaledAnswer taken) {
        begin(taken.tokens(), journal -> journal.continueTakenOver(holder, taken));
    }

    @Override
    public void onRefused(ErrorCode code, String detail) {
        fail(code, detail);
    }

    @Override
    public void startAttempt(int attempt, List<Token> accepted, AttemptReason reason) {
        Runnable cancellation = network.startStream(accepted, MAX_TOKENS, new SimulatedNetwork.StreamEvents() {
            @Override
            public void onToken(int offset, Token token) {
                passToAnswer(each -> each.onToken(attempt, offset, token, network.nowMillis()));
            }

            @Override
            public void onEnd(int tokenCount) {
                passToAnswer(each -> each.onEnd(attempt, tokenCount, FinishReason.LENGTH, network.nowMillis()));
            }

            @Override
            public void onFailure() {
                passToAnswer(
                        each -> each.onAttemptFailed(attempt, AttemptFailure.CONNECTION_LOST, network.nowMillis()));
            }
        });
        if (cancellation == null) {
            network.schedule(
                    1,
                    () -> passToAnswer(
                            each -> each.onAttemptFailed(attempt, AttemptFailure.REFUSED, network.nowMillis())));
        } else {
            cancellations.put(attempt, cancellation);
            network.schedule(
                    network.latency(), () -> passToAnswer(each -> each.onAttemptSent(attempt, network.nowMillis())));
        }
    }

    private void passToAnswer(Consumer<Answer> event) {
        executor.accept(() -> {
            if (answer != null && !ended) {
                event.accept(answer);
            }
        });
    }

    @Override
    public void cancelAttempt(int attempt) {
        Runnable cancellation = cancellations.remove(attempt);
        if (cancellation != null && cancelled.add(attempt)) {
            cancellation.run();
        }
    }

    @Override
    public void appendToJournal(int offset, List<Token> tokens) {
        if (writer != null) {
            writer.append(offset, tokens);
        }
    }

    @Override
    public void finishJournal(int tokenCount, FinishReason reason) {
        if (writer != null) {
            writer.finish(tokenCount, reason);
        }
    }

    @Override
    public void deliver(int offset, List<Token> tokens) {
        if (attached != null && writer != null) {
            attached.tokens(offset, tokens, writer.position(offset + tokens.size()));
        }
    }

    @Override
    public void finish(int tokenCount, FinishReason reason) {
        if (attached != null) {
            attached.finish(tokenCount);
        }
        end();
    }

    @Override
    public void fail(ErrorCode code, String detail) {
        if (attached != null) {
            attached.fail(code);
        }
        end();
    }

    @Override
    public void onAcknowledged(int tokenCount, boolean endAcknowledged) {
        if (answer != null) {
            answer.onJournalAck(tokenCount, endAcknowledged);
        }
    }

    @Override
    public void onCopyLost() {
        if (answer != null) {
            answer.onJournalCopyLost();
        }
    }

    @Override
    public void onFenced() {
        if (answer != null) {
            answer.onFailure(ErrorCode.SUPERSEDED, "fenced");
        }
    }

    @Override
    public void onNoAgent() {
        if (answer != null && answer.acceptedCount() == 0) {
            answer.onFailure(ErrorCode.JOURNAL_UNAVAILABLE, "no agent");
        }
    }

    /** The router's end of a caller's connection. */
    interface CallerConnection {
        void tokens(int offset, List<Token> tokens, ResumePosition next);

        void finish(int tokenCount);

        void fail(ErrorCode code);
    }
}
