package io.laburnummoor.gateway.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.ChangeFeed;
import io.laburnummoor.core.process.StopSchedule;
import io.laburnummoor.core.process.Supervisor;
import io.laburnummoor.core.process.ThreadFailure;
import io.laburnummoor.gateway.connection.CallerChannelInitializer;
import io.laburnummoor.gateway.version.RelayedChanges;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.jspecify.annotations.Nullable;

/** Serves callers, readiness checks and metrics, and drains on shutdown. */
public final class GatewayServer implements Service {
    private static final int EVENT_LOOP_COUNT = 2;
    private static final int BACKLOG = 1_024;
    /** Longest wait for the store at startup. Without a configuration, requests then get configuration_unknown. */
    private static final long INITIAL_STATE_TIMEOUT_MILLIS = 400;

    private static final long POLL_MILLIS = 50;
    private static final byte[] EMPTY = {};

    private final GatewayContext context;
    private final Readiness readiness;
    private final Supervisor supervisor;
    private final EventLoopGroup eventLoops;
    private final ServerSocketChannel callerSocket;
    private final EventLoopMonitor eventLoopMonitor;
    private final CallerChannelInitializer callers;
    private @Nullable Channel callerListener;

    /**
     * Creates a server on the event loops of the process, which it shuts down when it stops.
     *
     * @param callerSocket socket returned by {@link #bindCallerSocket}
     */
    public GatewayServer(
            GatewayContext context,
            Readiness readiness,
            Supervisor supervisor,
            EventLoopGroup eventLoops,
            ServerSocketChannel callerSocket) {
        this.context = context;
        this.readiness = readiness;
        this.supervisor = supervisor;
        this.eventLoops = eventLoops;
        this.callerSocket = callerSocket;
        this.eventLoopMonitor = new EventLoopMonitor(eventLoops, context);
        this.callers = new CallerChannelInitializer(context);
    }

    /**
     * Binds the port for callers before the rest of the process starts. Callers that connect in the meantime wait for
     * some tenths of a second, whereas a closed port would cost them one of their few attempts.
     */
    public static ServerSocketChannel bindCallerSocket(GatewaySettings settings) {
        try {
            ServerSocketChannel socket = ServerSocketChannel.open();
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            return socket.bind(new InetSocketAddress(settings.host(), settings.callerPort()), BACKLOG);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Creates the event loops of the process. Their connections cannot outlive them, so their end ends the process. */
    public static EventLoopGroup newEventLoopGroup(Supervisor supervisor) {
        return new NioEventLoopGroup(EVENT_LOOP_COUNT, new DefaultThreadFactory("loop", true) {
            @Override
            protected Thread newThread(Runnable loop, String name) {
                return super.newThread(supervisor.required(name, loop), name);
            }
        });
    }

    @Override
    public void start() {
        GatewaySettings settings = context.settings();
        eventLoopMonitor.start();
        listen("readiness listener", settings.readyPort(), new StatusEndpoint(target -> readinessReply()));
        listen("metrics listener", settings.metricsPort(), new StatusEndpoint(this::internalReply));
        context.state().awaitInitialState(INITIAL_STATE_TIMEOUT_MILLIS);
        callerListener = new ServerBootstrap()
                .group(eventLoops)
                .channelFactory(() -> new NioServerSocketChannel(callerSocket))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(callers)
                .register()
                .syncUninterruptibly()
                .channel();
        require("caller listener", callerListener);
        context.log().line("accepting_callers").write();
    }

    private StatusEndpoint.Reply readinessReply() {
        return new StatusEndpoint.Reply(
                readiness.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, EMPTY);
    }

    private StatusEndpoint.Reply internalReply(String target) {
        long version = RelayedChanges.versionOf(target);
        long configVersion = RelayedChanges.configVersionOf(target);
        if (configVersion >= 0) {
            ChangeFeed.Change newer = context.state().configChangeNewerThan(configVersion);
            return newer == null
                    ? new StatusEndpoint.Reply(HttpResponseStatus.GONE, EMPTY)
                    : new StatusEndpoint.Reply(HttpResponseStatus.OK, RelayedChanges.encodeEntry(newer));
        }
        if (version < 0) {
            long now = context.clock().nowMillis();
            context.metrics().recordPaces(context.state().instances().all(), now);
            context.metrics()
                    .recordRouterReportsAge(context.selector().expectedTime().oldestPeerReportAgeMillis(now));
            return new StatusEndpoint.Reply(
                    HttpResponseStatus.OK, context.metrics().toText());
        }
        ChangeFeed.Batch changes = context.state().recentChanges().after(version);
        return changes == null
                ? new StatusEndpoint.Reply(HttpResponseStatus.GONE, EMPTY)
                : new StatusEndpoint.Reply(
                        HttpResponseStatus.OK,
                        RelayedChanges.encode(changes, context.configFreshness().ageMillis()));
    }

    private void listen(String name, int port, ChannelInitializer<SocketChannel> initializer) {
        Channel listener = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer)
                .bind(context.settings().host(), port)
                .syncUninterruptibly()
                .channel();
        require(name, listener);
    }

    /** Netty closes a listener when an accept ends by an error other than an IOException; nobody could connect then. */
    private void require(String name, Channel listener) {
        listener.closeFuture().addListener(closed -> supervisor.ended(new ThreadFailure(name, null, 0, 0)));
    }

    /**
     * Reports not ready to the load balancer, waits for open requests and for callers that may still receive an answer,
     * answers the requests that remain, and then closes all connections. An event loop that closes its connections runs
     * no more timers that would answer their requests.
     */
    @Override
    public void stop() {
        supervisor.beginStop();
        long start = context.clock().nowMillis();
        context.state().beginDraining(start);
        context.admission().refuseAll();
        StopSchedule schedule = StopSchedule.of(start, context.settings().stopMillis());
        waitForOpenRequests(schedule.earliestCloseMillis(), schedule.finalAnswersMillis());
        closeCallerListener();
        context.state().refuseAll();
        // Requests that were accepted since the last look are answered, too.
        waitForOpenRequests(context.clock().nowMillis() + POLL_MILLIS, schedule.finalAnswersMillis());
        callers.endOpenRequests();
        waitForOpenRequests(start, schedule.closeMillis());
        context.log()
                .line("drained")
                .number("open_requests", context.state().openRequestCount())
                .number("waited_ms", context.clock().nowMillis() - start)
                .write();
        eventLoopMonitor.stop();
        eventLoops.shutdownGracefully(0, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Closes the port for callers. Does not wait for a busy event loop, since requests on the others need answers. */
    private void closeCallerListener() {
        Channel listener = callerListener;
        if (listener != null) {
            listener.close().awaitUninterruptibly(POLL_MILLIS);
        }
    }

    private void waitForOpenRequests(long earliestEnd, long deadline) {
        while (shouldWait(earliestEnd, deadline)) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
    }

    private boolean shouldWait(long earliestEnd, long deadline) {
        long now = context.clock().nowMillis();
        boolean open = context.state().openRequestCount() > 0 || context.state().lingeringConnectionCount() > 0;
        return now < deadline && (now < earliestEnd || open);
    }
}
