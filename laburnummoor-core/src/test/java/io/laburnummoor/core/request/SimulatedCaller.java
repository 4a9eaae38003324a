package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.laburnummoor.core.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * One caller, the routers that it can reach, and the oracle: each token must have been generated after exactly the
 * tokens received before it.
 */
final class SimulatedCaller {
    static final int MAX_TOKENS = 60;
    static final int ROUTERS = 3;

    private static final long STALL_TIMEOUT_MILLIS = 1_500;
    private final SimulatedNetwork network;
    private final List<Router> routers = new ArrayList<>();
    private @Nullable Connection connection;
    private int receivedCount;
    private long prefixHash;
    private @Nullable ResumePosition position;

    @Nullable
    String violation;

    boolean complete;
    boolean answerLost;

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
        router.downUntilMillis = network.nowMillis() + durationMillis;
        router.incarnation++;
        router.session = null;
        Connection open = connection;
        if (open != null && open.router == router) {
            network.schedule(network.latency(), () -> disconnected(open));
        }
    }

    void pauseRouter(int index, long durationMillis) {
        routers.get(index).pausedUntilMillis = network.nowMillis() + durationMillis;
    }

    void dropConnection() {
        Connection open = connection;
        if (open != null) {
            disconnected(open);
            SimulatedSession session = open.router.session;
            open.router.execute(() -> {
                if (session != null) {
                    session.detach(open);
                }
            });
        }
    }

    private void connect() {
        if (complete || answerLost || connection != null) {
            return;
        }
        Router router = routers.get(network.random.nextInt(ROUTERS));
        Connection opened = new Connection(router);
        connection = opened;
        ResumePosition resume = position;
        if (router.downUntilMillis > network.nowMillis()) {
            network.schedule(network.latency(), () -> disconnected(opened));
            return;
        }
        network.schedule(network.latency(), () -> router.execute(() -> router.accept(opened, resume)));
        reconnectWhenStalled(opened, receivedCount);
    }

    private void reconnectWhenStalled(Connection watched, int countBefore) {
        network.schedule(STALL_TIMEOUT_MILLIS, () -> {
            if (connection == watched && receivedCount == countBefore) {
                dropConnection();
            } else if (connection == watched) {
                reconnectWhenStalled(watched, receivedCount);
            }
        });
    }

    private void disconnected(Connection broken) {
        if (connection == broken) {
            connection = null;
            network.schedule(50 + network.random.nextInt(100), this::connect);
        }
    }

    /** The router's end of a connection of the caller. */
    private final class Connection implements SimulatedSession.CallerConnection {
        private final Router router;

        Connection(Router router) {
            this.router = router;
        }

        @Override
        public void tokens(int offset, List<Token> tokens, ResumePosition next) {
            for (int i = 0; i < tokens.size(); i++) {
                int tokenOffset = offset + i;
                Token token = tokens.get(i);
                ResumePosition after = new ResumePosition(next.journalAgentId(), next.epoch(), tokenOffset + 1);
                network.schedule(1, () -> receive(tokenOffset, token, after));
            }
        }

        private void receive(int offset, Token token, ResumePosition after) {
            if (connection != this) {
                return;
            }
            if (offset != receivedCount) {
                recordViolation("token at offset " + offset + " after " + receivedCount + " tokens");
            } else if (!Long.valueOf(prefixHash).equals(network.prefixHashByToken.get(token.id()))) {
                recordViolation("token at offset " + offset + " belongs to another generation");
            }
            receivedCount++;
            prefixHash = SimulatedNetwork.hashPrefix(prefixHash, token.id());
            position = after;
        }

        @Override
        public void finish(int tokenCount) {
            network.schedule(1, () -> {
                if (connection == this) {
                    complete = true;
                    if (tokenCount != receivedCount) {
                        recordViolation("end after " + receivedCount + " of " + tokenCount + " tokens");
                    }
                }
            });
        }

        @Override
        public void fail(ErrorCode code) {
            network.schedule(1, () -> {
                if (connection == this) {
                    answerLost |= code == ErrorCode.ANSWER_LOST;
                    disconnected(this);
                }
            });
        }

        private void recordViolation(String text) {
            if (violation == null) {
                violation = text + " at " + network.nowMillis() + " ms";
            }
        }
    }

    private final class Router {
        private final String name;
        private final String domain;
        private long downUntilMillis;
        private long pausedUntilMillis;
        private int incarnation;
        private @Nullable SimulatedSession session;

        Router(int index) {
            this.name = "router" + index;
            this.domain = "domain" + index % 2;
        }

        /**
         * Runs an event of this router once the router is not paused; drops it if the router has crashed in the
         * meantime.
         */
        void execute(Runnable action) {
            int expected = incarnation;
            if (pausedUntilMillis > network.nowMillis()) {
                network.schedule(pausedUntilMillis - network.nowMillis(), () -> {
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
            SimulatedSession running = session;
            if (running != null) {
                running.attach(opened, resume);
            } else {
                SimulatedSession created = new SimulatedSession(
                        network,
                        name,
                        network.agentsOf(name, domain, executor()),
                        executor(),
                        opened,
                        resume,
                        ended -> {
                            if (session == ended) {
                                session = null;
                            }
                        });
                session = created;
                created.start();
            }
        }
    }
}
