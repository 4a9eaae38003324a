package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.laburnummoor.core.ErrorCode;
import org.jspecify.annotations.Nullable;

/** One caller, the routers that it can reach, and the oracle: each token must follow exactly the tokens before it. */
final class SimulatedCaller {
    static final int MAX_TOKENS = 60;
    static final int ROUTERS = 3;

    private static final long SILENCE_MILLIS = 1_500;
    private static final long TICK_MILLIS = 20;
    private static final RequestId ID = new RequestId("office", "key");
    private static final GenerationRequest REQUEST =
            new GenerationRequest(ID, "drafter", "prompt", MAX_TOKENS, 0, 1L, "", Priority.INTERACTIVE, "me", "digest");
    private static final SilencePolicy SILENCE = new SilencePolicy() {
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
    private final List<Router> routers = new ArrayList<>();
    private @Nullable Connection connection;
    private int receivedCount;
    private long chain;
    private @Nullable ResumePosition position;

    @Nullable
    String violation;

    boolean complete;
    boolean lost;

    SimulatedCaller(SimulatedNetwork network) {
        this.network = network;
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new Router(i));
        }
        connect();
    }

    int receivedCount() {
        return receivedCount;
    }

    void crashRouter(int index, long durationMillis) {
        Router router = routers.get(index);
        router.deadUntilMillis = network.nowMillis() + durationMillis;
        router.incarnation++;
        router.session = null;
        Connection open = connection;
        if (open != null && open.router == router) {
            network.after(network.latency(), () -> disconnected(open));
        }
    }

    void pauseRouter(int index, long durationMillis) {
        routers.get(index).pausedUntilMillis = network.nowMillis() + durationMillis;
    }

    void dropConnection() {
        Connection open = connection;
        if (open != null) {
            disconnected(open);
            Session session = open.router.session;
            open.router.execute(() -> {
                if (session != null) {
                    session.detach(open);
                }
            });
        }
    }

    private void connect() {
        if (complete || lost || connection != null) {
            return;
        }
        Router router = routers.get(network.random.nextInt(ROUTERS));
        Connection opened = new Connection(router);
        connection = opened;
        ResumePosition resume = position;
        if (router.deadUntilMillis > network.nowMillis()) {
            network.after(network.latency(), () -> disconnected(opened));
            return;
        }
        network.after(network.latency(), () -> router.execute(() -> router.accept(opened, resume)));
        watch(opened, receivedCount);
    }

    private void watch(Connection watched, int countBefore) {
        network.after(SILENCE_MILLIS, () -> {
            if (connection == watched && receivedCount == countBefore) {
                dropConnection();
            } else if (connection == watched) {
                watch(watched, receivedCount);
            }
        });
    }

    private void disconnected(Connection broken) {
        if (connection == broken) {
            connection = null;
            network.after(50 + network.random.nextInt(100), this::connect);
        }
    }

    /** The end of the caller's connection at a router. */
    private final class Connection {
        private final Router router;

        Connection(Router router) {
            this.router = router;
        }

        void tokens(int offset, List<Token> tokens, ResumePosition next) {
            for (int i = 0; i < tokens.size(); i++) {
                int tokenOffset = offset + i;
                Token token = tokens.get(i);
                ResumePosition after = new ResumePosition(next.journalAgentId(), next.epoch(), tokenOffset + 1);
                network.after(1, () -> receive(tokenOffset, token, after));
            }
        }

        private void receive(int offset, Token token, ResumePosition after) {
            if (connection != this) {
                return;
            }
            if (offset != receivedCount) {
                report("token at offset " + offset + " after " + receivedCount + " tokens");
            } else if (!Long.valueOf(chain).equals(network.parentOfToken.get(token.id()))) {
                report("token at offset " + offset + " belongs to another generation");
            }
            receivedCount++;
            chain = SimulatedNetwork.chain(chain, token.id());
            position = after;
        }

        void finish(int tokenCount) {
            network.after(1, () -> {
                if (connection == this) {
                    complete = true;
                    if (tokenCount != receivedCount) {
                        report("end after " + receivedCount + " of " + tokenCount + " tokens");
                    }
                }
            });
        }

        void fail(ErrorCode code) {
            network.after(1, () -> {
                if (connection == this) {
                    lost |= code == ErrorCode.ANSWER_LOST;
                    disconnected(this);
                }
            });
        }

        private void report(String text) {
            if (violation == null) {
                violation = text + " at " + network.nowMillis() + " ms";
            }
        }
    }

    private final class Router {
        private final String name;
        private final String domain;
        private long deadUntilMillis;
        private long pausedUntilMillis;
        private int incarnation;
        private @Nullable Session session;

        Router(int index) {
            this.name = "router" + index;
            this.domain = "domain" + index % 2;
        }

        /** Runs an event of this router when it is not paused, and never if it has crashed meanwhile. */
        void execute(Runnable action) {
            int expected = incarnation;
            if (pausedUntilMillis > network.nowMillis()) {
                network.after(pausedUntilMillis - network.nowMillis(), () -> {
                    if (incarnation == expected) {
                        execute(action);
                    }
                });
            } else {
                action.run();
            }
        }

        Consumer<Runnable> executor() {
            int expected = incarnation;
            return action -> {
                if (incarnation == expected) {
                    execute(action);
                }
            };
        }

        void accept(Connection opened, @Nullable ResumePosition resume) {
            Session running = session;
            if (running != null) {
                running.attach(opened, resume);
            } else {
                Session created = new Session(this, opened, resume);
                session = created;
                created.start();
            }
        }
    }

    /** What the router's session does around the decisions under test. */
    private final class Session implements AnswerEffects, JournalOpener.Listener, JournalWriter.Listener {
        private final Router router;
        private final Consumer<Runnable> executor;
        private final JournalAgents agents;
        private final int nonce = network.random.nextInt();
        private final @Nullable ResumePosition firstResume;
        private final Map<Integer, Runnable> cancellations = new HashMap<>();
        private final Set<Integer> cancelled = new HashSet<>();
        private @Nullable Connection attached;
        private @Nullable Answer answer;
        private @Nullable JournalWriter writer;
        private boolean ended;

        Session(Router router, Connection first, @Nullable ResumePosition resume) {
            this.router = router;
            this.executor = router.executor();
            this.agents = network.agentsOf(router.name, router.domain, executor);
            this.attached = first;
            this.firstResume = resume;
        }

        void start() {
            new JournalOpener(agents, REQUEST, firstResume, router.name, nonce, Runnable::run, this).start();
            network.after(TICK_MILLIS, () -> executor.accept(this::tick));
        }

        void attach(Connection next, @Nullable ResumePosition resume) {
            Answer running = answer;
            JournalWriter journal = writer;
            if (running == null || journal == null || (running.isAttached() && resume == null)) {
                next.fail(ErrorCode.DUPLICATE_RUNNING);
            } else if (resume != null && !journal.covers(resume)) {
                next.fail(ErrorCode.ANSWER_LOST);
            } else {
                attached = next;
                running.onAttach(resume == null ? 0 : resume.offset());
                journal.reportCaller();
            }
        }

        void detach(Connection broken) {
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
            network.after(TICK_MILLIS, () -> executor.accept(this::tick));
        }

        private void begin(List<Token> tokens, Consumer<JournalWriter> opening) {
            Answer created = new Answer(MAX_TOKENS, tokens, SILENCE, this);
            Binding binding = new Binding("drafter", "v1", "", 1);
            JournalWriter journal =
                    new JournalWriter(agents, REQUEST, router.name, Runnable::run, created, binding, nonce, this);
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
            if (router.session == this) {
                router.session = null;
            }
        }

        @Override
        public void onFresh() {
            begin(List.of(), JournalWriter::openNew);
        }

        @Override
        public void onFinished(FoundAnswer found) {
            Connection caller = attached;
            int offset = firstResume == null ? 0 : firstResume.offset();
            if (caller != null) {
                int count = found.tokens().size();
                caller.tokens(
                        offset,
                        found.tokens().subList(offset, count),
                        new ResumePosition("agent0", found.epoch(), count));
                caller.finish(count);
            }
            end();
        }

        @Override
        public void onTakenOver(JournalAgent holder, FoundAnswer taken) {
            begin(taken.tokens(), journal -> journal.adopt(holder, taken));
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
                    deliverEvent(each -> each.onToken(attempt, offset, token, network.nowMillis()));
                }

                @Override
                public void onEnd(int tokenCount) {
                    deliverEvent(each -> each.onEnd(attempt, tokenCount, FinishReason.LENGTH, network.nowMillis()));
                }

                @Override
                public void onFailure() {
                    deliverEvent(
                            each -> each.onAttemptFailed(attempt, AttemptFailure.CONNECTION_LOST, network.nowMillis()));
                }
            });
            if (cancellation == null) {
                network.after(
                        1,
                        () -> deliverEvent(
                                each -> each.onAttemptFailed(attempt, AttemptFailure.REFUSED, network.nowMillis())));
            } else {
                cancellations.put(attempt, cancellation);
                network.after(
                        network.latency(),
                        () -> deliverEvent(each -> each.onAttemptSent(attempt, network.nowMillis())));
            }
        }

        private void deliverEvent(Consumer<Answer> event) {
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
        public void onMoved() {
            if (answer != null) {
                answer.onJournalMoved();
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
    }
}
