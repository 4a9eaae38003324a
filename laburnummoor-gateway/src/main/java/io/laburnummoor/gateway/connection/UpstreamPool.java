package io.laburnummoor.gateway.connection;

import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.jspecify.annotations.Nullable;

/**
 * Pool of the idle upstream connections of one event loop, most recently used first. Confined to that loop; each loop
 * has its own pool, so that no lock is taken on the path of a request. While the pool holds connections, it closes
 * those past their idle limit: an engine that went dark never does, and each one would keep a descriptor.
 */
public final class UpstreamPool {
    /** Round trips take a few milliseconds; a lost SYN packet would be retransmitted only after a second. */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;
    /** A live upstream keeps a connection within its limit at least so long. */
    private static final long KEPT_MILLIS = 100;
    /** Idle time after which a connection is not reused if the upstream announces no keep-alive timeout. */
    private static final long DEFAULT_IDLE_MILLIS = 2_000;

    /**
     * Upper bound of the idle limit, whatever the upstream announces. It bounds the time for which the connections to
     * an engine that is gone keep their descriptors; reuse after a longer pause saves too little.
     */
    static final long MAX_IDLE_MILLIS = 30_000;

    /** The error of a connection attempt that was accepted and reset; the JDK has no exception type for it. */
    private static final String RESET_MESSAGE = "Connection reset";

    private static final long SWEEP_INTERVAL_MILLIS = 1_000;
    /** Each close takes some system calls, during which the loop serves no request. */
    private static final int MAX_CLOSED_PER_SWEEP = 200;

    private final EventLoop loop;
    private final Clock clock;
    private final UnsolicitedBytesListener unsolicitedBytesListener;
    private final Map<String, Deque<UpstreamConnection>> idleByKey = new HashMap<>();
    private boolean sweepScheduled;

    /** Creates a pool without connections. */
    public UpstreamPool(EventLoop loop, Clock clock, UnsolicitedBytesListener unsolicitedBytesListener) {
        this.loop = loop;
        this.clock = clock;
        this.unsolicitedBytesListener = unsolicitedBytesListener;
    }

    /**
     * Takes a usable idle connection from the pool, or returns null if there is none. One that has answered a request
     * with the same id is closed: a second response to that one could not be told from the response to this one.
     */
    private @Nullable UpstreamConnection pollIdle(UpstreamInstance instance, @Nullable String requestId) {
        Deque<UpstreamConnection> idle = idleByKey.get(keyOf(instance));
        while (idle != null && !idle.isEmpty()) {
            UpstreamConnection connection = idle.pollFirst();
            if (connection.isUsable(nowMillis())
                    && !connection.hasAnswered(requestId)
                    && connection.isOpenAfterRead()) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /**
     * Passes an idle or else a new connection to the consumer, or null if the upstream cannot be reached.
     *
     * @param requestId id of the request that the connection is for, or null if it has none
     */
    public void connect(
            UpstreamInstance instance, @Nullable String requestId, Consumer<@Nullable UpstreamConnection> consumer) {
        UpstreamConnection idle = pollIdle(instance, requestId);
        if (idle != null) {
            consumer.accept(idle);
        } else {
            open(instance, consumer);
        }
    }

    /** Opens a connection and passes it to the consumer, or null if the upstream cannot be reached. */
    public void open(UpstreamInstance instance, Consumer<@Nullable UpstreamConnection> consumer) {
        open(instance, (connection, cause) -> consumer.accept(connection));
    }

    private void open(UpstreamInstance instance, ConnectListener listener) {
        UpstreamResponseDecoder decoder = new UpstreamResponseDecoder();
        UpstreamConnection connection =
                new UpstreamConnection(this, keyOf(instance), decoder, unsolicitedBytesListener);
        connection.setIdleLimit(DEFAULT_IDLE_MILLIS);
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new UnsolicitedBytesHandler(connection))
                                .addLast(decoder)
                                .addLast(new TargetPreservingEncoder())
                                .addLast(connection);
                    }
                })
                .connect(instance.host(), instance.port());
        connecting.addListener((ChannelFutureListener) done -> {
            if (done.isSuccess()) {
                loop.schedule(connection::recordKept, KEPT_MILLIS, TimeUnit.MILLISECONDS);
            }
            listener.onConnected(done.isSuccess() ? connection : null, done.cause());
        });
    }

    /**
     * Reports whether the upstream accepts a connection, even if it resets it at once because of its connection limit.
     * The connection is kept for the next request.
     */
    public void probe(UpstreamInstance instance, Consumer<Boolean> consumer) {
        open(instance, (connection, cause) -> {
            if (connection != null) {
                connection.returnToPool();
            }
            consumer.accept(connection != null || isReset(cause));
        });
    }

    /** A reset can arrive before the event loop has noticed that the connection is established. */
    private static boolean isReset(@Nullable Throwable cause) {
        return cause instanceof SocketException
                && String.valueOf(cause.getMessage()).startsWith(RESET_MESSAGE);
    }

    /**
     * Reports whether the upstream accepts a connection and keeps it open for some time. A proxy may accept connections
     * for an upstream that has ended; a live upstream resets those beyond its connection limit.
     */
    public void probeLasting(UpstreamInstance instance, Consumer<Boolean> consumer) {
        open(instance, connection -> {
            if (connection == null) {
                consumer.accept(false);
            } else {
                loop.schedule(
                        () -> {
                            boolean open = connection.isOpen();
                            if (open) {
                                connection.returnToPool();
                            }
                            consumer.accept(open);
                        },
                        KEPT_MILLIS,
                        TimeUnit.MILLISECONDS);
            }
        });
    }

    void release(UpstreamConnection connection) {
        idleByKey.computeIfAbsent(connection.key(), key -> new ArrayDeque<>()).addFirst(connection);
        scheduleSweep();
    }

    /** Schedules a sweep while there is something to close; an empty pool needs no timer. */
    private void scheduleSweep() {
        if (!sweepScheduled && !idleByKey.isEmpty()) {
            sweepScheduled = true;
            loop.schedule(this::sweep, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        sweepScheduled = false;
        // Removed before they are closed, since a close removes the connection from the pool, too.
        removeUnusable().forEach(UpstreamConnection::close);
        scheduleSweep();
    }

    private List<UpstreamConnection> removeUnusable() {
        long nowMillis = nowMillis();
        List<UpstreamConnection> removed = new ArrayList<>();
        for (Deque<UpstreamConnection> idle : idleByKey.values()) {
            Iterator<UpstreamConnection> connections = idle.descendingIterator();
            while (connections.hasNext() && removed.size() < MAX_CLOSED_PER_SWEEP) {
                UpstreamConnection each = connections.next();
                if (!each.isUsable(nowMillis)) {
                    connections.remove();
                    removed.add(each);
                }
            }
        }
        idleByKey.values().removeIf(Deque::isEmpty);
        return removed;
    }

    void remove(UpstreamConnection connection) {
        Deque<UpstreamConnection> idle = idleByKey.get(connection.key());
        if (idle != null) {
            idle.remove(connection);
            if (idle.isEmpty()) {
                idleByKey.remove(connection.key());
            }
        }
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    /** Returns the key of the connections to one incarnation; a later one at the same address does not reuse them. */
    private static String keyOf(UpstreamInstance instance) {
        return instance.id() + "@" + instance.address();
    }

    /** Receives a new connection, or the cause why there is none. */
    private interface ConnectListener {
        void onConnected(@Nullable UpstreamConnection connection, @Nullable Throwable cause);
    }
}
