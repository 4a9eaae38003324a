package io.laburnummoor.gateway.connection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

/**
 * Guards against connections to engines that went dark, which no engine closes: they would take a descriptor each until
 * the process has none left.
 */
final class UpstreamPoolTest {
    private static final int CONNECTIONS = 100;
    private static final long CLOSE_WITHIN_MILLIS = 10_000;
    /** Longer than a connection takes on loopback to be accepted and reset. */
    private static final long BUSY_NANOS = 200_000_000;

    private static final long AWAIT_SECONDS = 10;

    private final EventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final AtomicLong skippedMillis = new AtomicLong();
    private final UpstreamPool pool = new UpstreamPool(
            loop, () -> Clock.monotonic().nowMillis() + skippedMillis.get(), (address, byteCount, requestCount) -> {});
    private final SilentEngine engine = new SilentEngine();

    UpstreamPoolTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        engine.close();
        loops.shutdownGracefully(0, 1, TimeUnit.MILLISECONDS);
    }

    private static <T> T onLoop(EventLoop loop, Consumer<CompletableFuture<T>> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> task.accept(result));
        return result.get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void probe() throws Exception {
        onLoop(loop, (CompletableFuture<Boolean> done) -> pool.probe(engine.instance, done::complete));
    }

    private void probeLasting() throws Exception {
        onLoop(loop, (CompletableFuture<Boolean> done) -> pool.probeLasting(engine.instance, done::complete));
    }

    private UpstreamConnection open(long limitMillis) throws Exception {
        UpstreamConnection connection = onLoop(loop, done -> pool.open(engine.instance, done::complete));
        connection.setIdleLimit(limitMillis);
        return connection;
    }

    private void returnToPool(UpstreamConnection connection) throws Exception {
        onLoop(loop, (CompletableFuture<Boolean> done) -> {
            connection.returnToPool();
            done.complete(true);
        });
    }

    @ParameterizedTest(name = "{0}, idle limit {1} ms, after {2} ms")
    @CsvSource({"probe, 0, 0", "lasting probe, 0, 0", "request, 300, 0", "request, 3600000, 60000"})
    void idleConnectionsOfASilentEngineAreClosed(String use, long limitMillis, long skipMillis) throws Exception {
        for (int i = 0; i < CONNECTIONS; i++) {
            switch (use) {
                case "probe" -> probe();
                case "lasting probe" -> probeLasting();
                default -> returnToPool(open(limitMillis));
            }
        }
        engine.awaitAccepted(CONNECTIONS);
        skippedMillis.set(skipMillis);

        assertThat(engine.awaitOpenCount(0, CLOSE_WITHIN_MILLIS), is(0));
    }

    /** Closing a connection that could be used again costs the next request a new one, which engines limit. */
    @ParameterizedTest(name = "idle for {0} ms")
    @ValueSource(longs = {100, 2_500})
    void aConnectionWithinItsIdleLimitIsUsedAgain(long idleMillis) throws Exception {
        UpstreamConnection first = open(20_000);
        returnToPool(first);
        returnToPool(open(300));
        Thread.sleep(idleMillis);

        skippedMillis.set(1_000);
        UpstreamConnection next = onLoop(loop, done -> pool.connect(engine.instance, null, done::complete));

        assertThat(next, is(sameInstance(first)));
    }

    /**
     * Guards against an upstream at its connection limit that counts as gone: its reset can arrive before the event
     * loop has seen that the connection is established.
     */
    @ParameterizedTest(name = "upstream listens and resets: {0}")
    @ValueSource(booleans = {true, false})
    void onlyAConnectionThatIsRefusedShowsThatTheUpstreamIsGone(boolean listening) throws Exception {
        engine.resetting = true;
        if (!listening) {
            engine.close();
        }

        boolean accepted = onLoop(loop, done -> {
            pool.probe(engine.instance, done::complete);
            // Runs after the task that begins to connect.
            loop.execute(() -> LockSupport.parkNanos(BUSY_NANOS));
        });

        assertThat(accepted, is(listening));
    }

    /** Accepts connections and keeps them open without a word, or resets them. */
    private static final class SilentEngine {
        private final ServerSocketChannel server =
                ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
        private final List<SocketChannel> accepted = new CopyOnWriteArrayList<>();
        private final UpstreamInstance instance = instance();
        private volatile boolean resetting;

        private SilentEngine() throws IOException {
            Thread acceptor = new Thread(this::accept, "silent-engine");
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private void accept() {
            try {
                while (true) {
                    SocketChannel connection = server.accept();
                    if (resetting) {
                        connection.setOption(StandardSocketOptions.SO_LINGER, 0);
                        connection.close();
                        continue;
                    }
                    connection.configureBlocking(false);
                    accepted.add(connection);
                }
            } catch (IOException closed) {
                // The test has ended.
            }
        }

        private UpstreamInstance instance() {
            int port = server.socket().getLocalPort();
            return new UpstreamInstance("i-1", "desk", "sapporo", "127.0.0.1", port, "v1", 8, false, 0, 1, 1);
        }

        private void awaitAccepted(int count) throws InterruptedException {
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
            while (accepted.size() < count) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new IllegalStateException(accepted.size() + " of " + count + " connections accepted");
                }
                Thread.sleep(10);
            }
        }

        /** Waits until that many connections are open, up to a limit, and returns how many are. */
        private int awaitOpenCount(int expected, long timeoutMillis) throws Exception {
            long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
            int open = openCount();
            while (open != expected && System.nanoTime() < deadlineNanos) {
                Thread.sleep(50);
                open = openCount();
            }
            return open;
        }

        private int openCount() {
            return (int) accepted.stream().filter(SilentEngine::isOpen).count();
        }

        private static boolean isOpen(SocketChannel connection) {
            try {
                return connection.read(ByteBuffer.allocate(1)) >= 0;
            } catch (IOException reset) {
                return false;
            }
        }

        private void close() throws IOException {
            server.close();
            for (SocketChannel each : accepted) {
                each.close();
            }
        }
    }
}
