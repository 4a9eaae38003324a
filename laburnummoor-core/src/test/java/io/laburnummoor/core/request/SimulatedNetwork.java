package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;

import io.laburnummoor.core.process.AnswerJournal;
import org.jspecify.annotations.Nullable;

/** Simulates time, journal agents, engines and their faults; all random choices derive from one seed. */
final class SimulatedNetwork {
    static final long CALL_TIMEOUT_MILLIS = 250;
    static final int AGENTS = 4;
    static final int ENGINES = 3;

    private static final long AGENT_FAILURE_DETECTION_MILLIS = 3_000;
    private static final int READ_CANDIDATES = 2;

    final SplittableRandom random;
    final Map<Integer, Long> prefixHashByToken = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final List<Agent> agents = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final Set<String> partitions = new HashSet<>();
    boolean messagesRepeated;
    private long nowMillis;
    private long sequence;
    private int nextTokenId;

    SimulatedNetwork(long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < AGENTS; i++) {
            agents.add(new Agent(i));
        }
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Engine());
        }
    }

    long nowMillis() {
        return nowMillis;
    }

    void schedule(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, sequence++, action));
    }

    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event next = events.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
        nowMillis = endMillis;
    }

    long latency() {
        return 1L + random.nextInt(4);
    }

    void setPartitioned(String router, int agent, boolean partitioned) {
        if (partitioned) {
            partitions.add(router + agent);
        } else {
            partitions.remove(router + agent);
        }
    }

    void crashAgent(int index, long durationMillis) {
        Agent agent = agents.get(index);
        agent.journal = agent.emptyJournal();
        agent.downSinceMillis = nowMillis;
        schedule(durationMillis, () -> agent.downSinceMillis = Long.MAX_VALUE);
    }

    void crashEngine(int index, long durationMillis) {
        Engine engine = engines.get(index);
        engine.incarnation++;
        engine.downUntilMillis = nowMillis + durationMillis;
    }

    void pauseEngine(int index, long durationMillis) {
        engines.get(index).pausedUntilMillis = nowMillis + durationMillis;
    }

    JournalAgents agentsOf(String router, String domain, Consumer<Runnable> routerExecutor) {
        return new JournalAgents() {
            @Override
            public @Nullable JournalAgent select(RequestId id, Set<String> excludedAgentIds) {
                List<JournalAgent> connections = connections().stream()
                        .filter(connection -> !excludedAgentIds.contains(connection.id()))
                        .toList();
                return connections.stream()
                        .filter(JournalAgent::isInOtherFailureDomain)
                        .findFirst()
                        .orElse(connections.isEmpty() ? null : connections.get(0));
            }

            @Override
            public List<JournalAgent> readCandidates(RequestId id, @Nullable String namedAgentId) {
                List<JournalAgent> connections = connections();
                List<JournalAgent> chosen =
                        new ArrayList<>(connections.subList(0, Math.min(READ_CANDIDATES, connections.size())));
                connections.stream()
                        .filter(connection -> connection.id().equals(namedAgentId) && !chosen.contains(connection))
                        .forEach(chosen::add);
                return chosen;
            }

            private List<JournalAgent> connections() {
                return agents.stream()
                        .filter(agent -> agent.downSinceMillis == Long.MAX_VALUE
                                || nowMillis - agent.downSinceMillis < AGENT_FAILURE_DETECTION_MILLIS)
                        .<JournalAgent>map(agent -> new AgentConnection(agent, router, domain, routerExecutor))
                        .toList();
            }
        };
    }

    /** Starts a stream on a random engine and returns its cancellation, or null if no engine is alive. */
    @Nullable
    Runnable startStream(List<Token> prefix, int maxTokens, StreamEvents listener) {
        List<Engine> alive = engines.stream()
                .filter(engine -> engine.downUntilMillis <= nowMillis)
                .toList();
        if (alive.isEmpty()) {
            return null;
        }
        Stream stream = new Stream(alive.get(random.nextInt(alive.size())), maxTokens, listener);
        for (Token token : prefix) {
            stream.prefixHash = hashPrefix(stream.prefixHash, token.id());
        }
        stream.offset = prefix.size();
        schedule(20 + latency(), stream::step);
        return () -> stream.cancelled = true;
    }

    static long hashPrefix(long previous, int tokenId) {
        return (previous ^ tokenId) * 0x9e3779b97f4a7c15L + 1;
    }

    interface StreamEvents {
        void onToken(int offset, Token token);

        void onEnd(int tokenCount);

        void onFailure();
    }

    private record Event(long atMillis, long sequence, Runnable action) {}

    private final class Agent {
        private final String id;
        private final String domain;
        private AnswerJournal journal = emptyJournal();
        private long downSinceMillis = Long.MAX_VALUE;

        Agent(int index) {
            this.id = "agent" + index;
            this.domain = "domain" + index % 2;
        }

        private AnswerJournal emptyJournal() {
            return new AnswerJournal(1 << 20, 600_000, () -> nowMillis);
        }
    }

    private static final class Engine {
        private long downUntilMillis;
        private long pausedUntilMillis;
        private int incarnation;
    }

    private final class Stream {
        private final Engine engine;
        private final int incarnation;
        private final int maxTokens;
        private final StreamEvents listener;
        private long prefixHash;
        private int offset;
        private boolean cancelled;

        Stream(Engine engine, int maxTokens, StreamEvents listener) {
            this.engine = engine;
            this.incarnation = engine.incarnation;
            this.maxTokens = maxTokens;
            this.listener = listener;
        }

        void step() {
            if (cancelled) {
                return;
            }
            if (engine.incarnation != incarnation) {
                schedule(latency(), listener::onFailure);
            } else if (nowMillis < engine.pausedUntilMillis) {
                schedule(engine.pausedUntilMillis - nowMillis, this::step);
            } else if (offset == maxTokens) {
                schedule(8, () -> listener.onEnd(maxTokens));
            } else {
                sendToken();
                schedule(3 + random.nextInt(15), this::step);
            }
        }

        private void sendToken() {
            Token token = new Token(nextTokenId++, "t");
            prefixHashByToken.put(token.id(), prefixHash);
            prefixHash = hashPrefix(prefixHash, token.id());
            int sent = offset++;
            schedule(latency(), () -> listener.onToken(sent, token));
            if (messagesRepeated && random.nextInt(4) == 0) {
                schedule(random.nextInt(40), () -> listener.onToken(sent, token));
            }
        }
    }

    /** The connection of one router to one agent; calls may be lost, delayed or executed twice. */
    private final class AgentConnection implements JournalAgent {
        private final Agent agent;
        private final String router;
        private final String routerDomain;
        private final Consumer<Runnable> routerExecutor;

        AgentConnection(Agent agent, String router, String routerDomain, Consumer<Runnable> routerExecutor) {
            this.agent = agent;
            this.router = router;
            this.routerDomain = routerDomain;
            this.routerExecutor = routerExecutor;
        }

        @Override
        public String id() {
            return agent.id;
        }

        @Override
        public boolean isInOtherFailureDomain() {
            return !agent.domain.equals(routerDomain);
        }

        @Override
        public void read(RequestId id, Consumer<@Nullable JournalReply> replyHandler) {
            call(journal -> new JournalReply(true, found(journal.find(id))), replyHandler);
        }

        @Override
        public void takeOver(RequestId id, long epoch, String writer, Consumer<@Nullable JournalReply> replyHandler) {
            call(
                    journal -> {
                        JournalEntry taken = journal.takeOver(id, epoch, writer);
                        return new JournalReply(taken != null && taken.epoch() == epoch, found(taken));
                    },
                    replyHandler);
        }

        @Override
        public void open(JournalOpenRequest openRequest, Consumer<@Nullable JournalReply> replyHandler) {
            call(
                    journal -> {
                        boolean accepted = journal.open(openRequest);
                        return new JournalReply(accepted, accepted ? null : found(journal.find(openRequest.id())));
                    },
                    replyHandler);
        }

        @Override
        public void append(JournalAppend append, JournalListener listener) {
            call(journal -> journal.append(append), result -> {
                if (result == AnswerJournal.AppendResult.ACKNOWLEDGED) {
                    listener.onAcknowledged(append.offset() + append.tokens().size(), append.finishReason() != null);
                } else if (result == AnswerJournal.AppendResult.FENCED) {
                    listener.onFenced();
                } else {
                    listener.onLost();
                }
            });
        }

        @Override
        public boolean equals(@Nullable Object other) {
            return other instanceof AgentConnection connection && connection.agent == agent;
        }

        @Override
        public int hashCode() {
            return agent.hashCode();
        }

        private <T> void call(Function<AnswerJournal, T> operation, Consumer<@Nullable T> replyHandler) {
            boolean[] answered = {false};
            schedule(latency(), () -> execute(operation, replyHandler, answered));
            if (messagesRepeated && random.nextInt(4) == 0) {
                schedule(random.nextInt(300), () -> execute(operation, replyHandler, answered));
            }
            schedule(CALL_TIMEOUT_MILLIS, () -> reply(answered, () -> replyHandler.accept(null)));
        }

        private <T> void execute(
                Function<AnswerJournal, T> operation, Consumer<@Nullable T> replyHandler, boolean[] answered) {
            if (agent.downSinceMillis != Long.MAX_VALUE || partitions.contains(router + agent.id.charAt(5))) {
                return;
            }
            T result = operation.apply(agent.journal);
            // One reply in 50 is lost after the operation has taken effect.
            if (random.nextInt(50) != 0 || !messagesRepeated) {
                schedule(latency(), () -> reply(answered, () -> replyHandler.accept(result)));
            }
        }

        private void reply(boolean[] answered, Runnable handler) {
            if (!answered[0]) {
                answered[0] = true;
                routerExecutor.accept(handler);
            }
        }

        private @Nullable JournaledAnswer found(@Nullable JournalEntry entry) {
            return entry == null ? null : JournaledAnswer.of(entry, agent.journal.isWriterAlive(entry));
        }
    }
}
