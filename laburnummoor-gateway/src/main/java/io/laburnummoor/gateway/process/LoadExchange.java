package io.laburnummoor.gateway.process;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.connection.EndedIncarnation;
import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedPace;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.process.CrashSuspectTable;
import io.laburnummoor.core.process.EndedIncarnationTable;
import io.laburnummoor.core.process.GuardedTask;
import io.laburnummoor.core.process.OrderedRollouts;
import io.laburnummoor.core.process.PeerLoads;
import io.laburnummoor.core.process.PeerSubset;
import io.laburnummoor.core.process.PromptPartQuarantine;
import io.laburnummoor.core.process.RouterLoad;
import io.laburnummoor.core.process.SuspectPromptPart;
import io.laburnummoor.core.version.VersionCounts;
import io.laburnummoor.wire.connection.LoadCodec;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.apache.thrift.TException;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges state with the other routers over UDP: the load that each router puts on the engines, the counts of ordered
 * rollouts, crash suspects, suspect prompt parts and ended incarnations. Without the load, routers would send prompts
 * to the same engine, since they do not see each other's requests. Each message holds the complete load, and suspects
 * in turn, so that lost messages do no harm.
 * Messages are sent and received on one event loop.
 */
public final class LoadExchange implements Service {
    /** Changes within this time are combined into one message. */
    private static final long COALESCE_MILLIS = 5;
    /** Interval of periodic messages, which make up for lost ones and let the others detect a dead router. */
    private static final long SEND_INTERVAL_MILLIS = 1_000;
    /** Limits the messages for one change; in larger fleets each message goes to another random subset. */
    private static final int MAX_PEERS = 32;
    /** Crash suspects are rare; the latest ones are sent. */
    private static final int MAX_SUSPECTS = 4;
    /** Maximum number of engines in a message, which keeps it within one packet. */
    private static final int MAX_LOADS = 48;
    /**
     * Maximum number of paces in a message, the freshest ones. They pass with messages that are sent anyway, so that
     * plain calls, of which a fleet makes hundreds a second, cause no message.
     */
    private static final int MAX_PACES = 6;
    /** Number of engines by which a message is shorter that has paces or long prompts. */
    private static final int LOADS_IN_PLACE_OF_PACES = 8;
    /** An older pace says little more than the average of the upstream, which the receiver has learned. */
    private static final long MAX_PACE_AGE_MILLIS = 500;
    /** The same beside suspect prompt parts. */
    private static final int MAX_LOADS_BESIDE_SUSPECTS = 28;

    private final GatewaySettings settings;
    private final GatewayState state;
    private final PeerLoads peers;
    private final OrderedRollouts rollouts;
    private final CrashSuspectTable suspects;
    private final PromptPartQuarantine promptParts;
    private final EndedIncarnationTable endedIncarnations = new EndedIncarnationTable();
    private final DecisionLog log;
    private final Clock clock;
    private final EventLoop loop;
    private final long incarnation = ThreadLocalRandom.current().nextLong();
    private final AtomicBoolean sendScheduled = new AtomicBoolean();
    private volatile @Nullable Channel channel;
    private volatile boolean stopping;
    private long sequence;

    /** Creates an exchange that runs on one of the event loops of the process. */
    public LoadExchange(
            GatewaySettings settings,
            GatewayState state,
            PeerLoads peers,
            OrderedRollouts rollouts,
            CrashSuspectTable suspects,
            PromptPartQuarantine promptParts,
            DecisionLog log,
            Clock clock,
            EventLoopGroup loops) {
        this.settings = settings;
        this.state = state;
        this.peers = peers;
        this.rollouts = rollouts;
        this.suspects = suspects;
        this.promptParts = promptParts;
        this.log = log;
        this.clock = clock;
        this.loop = loops.next();
    }

    @Override
    public void start() {
        open().syncUninterruptibly();
        loop.scheduleWithFixedDelay(
                new GuardedTask(this::sendPeriodically, this::onFault),
                SEND_INTERVAL_MILLIS,
                SEND_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private ChannelFuture open() {
        ChannelFuture opening = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new Receiver())
                .bind(settings.host(), settings.exchangePort());
        Channel opened = opening.channel();
        channel = opened;
        opened.closeFuture().addListener(closed -> reopenLater());
        return opening;
    }

    /** Netty closes the channel when a read ends by an error other than a SocketException. */
    private void reopenLater() {
        if (!stopping) {
            log.line("load_exchange_closed").write();
            Runnable reopening = new GuardedTask(this::open, this::onFailedOpen);
            loop.schedule(reopening, SEND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void onFailedOpen(Throwable fault) {
        onFault(fault);
        reopenLater();
    }

    @Override
    public void stop() {
        stopping = true;
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    /** Schedules a message after a change of the state that it holds. May be called by any thread. */
    public void stateChanged() {
        if (sendScheduled.compareAndSet(false, true)) {
            loop.schedule(new GuardedTask(this::send, this::onFault), COALESCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Reports to the others that an incarnation has ended, since another one answered at its address. May be called by
     * any thread.
     */
    public void incarnationEnded(InstanceState upstream) {
        endedIncarnations.record(EndedIncarnation.of(upstream.instance()), clock.nowMillis());
        stateChanged();
    }

    private void onFault(Throwable fault) {
        log.line("load_exchange_error").text("error", fault.toString()).write();
    }

    private void sendPeriodically() {
        peers.expire(clock.nowMillis());
        suspects.expire();
        promptParts.expire();
        send();
    }

    private void send() {
        sendScheduled.set(false);
        Channel open = channel;
        Collection<InetSocketAddress> addresses = state.peers().values();
        if (open == null || addresses.isEmpty()) {
            return;
        }
        try {
            byte[] bytes = LoadCodec.encode(ownLoad());
            for (InetSocketAddress peer : PeerSubset.select(addresses, MAX_PEERS, ThreadLocalRandom.current())) {
                open.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer), open.voidPromise());
            }
            open.flush();
        } catch (TException failure) {
            log.line("load_not_sent").text("error", failure.toString()).write();
        }
    }

    private RouterLoad ownLoad() {
        List<SuspectPromptPart> suspectParts = promptParts.report();
        List<ReportedPace> paces = ownPaces(clock.nowMillis());
        int maxLoads = suspectParts.isEmpty() ? MAX_LOADS : MAX_LOADS_BESIDE_SUSPECTS;
        if (!paces.isEmpty() || state.instances().all().stream().anyMatch(InstanceState::prefillsLongPrompt)) {
            maxLoads -= LOADS_IN_PLACE_OF_PACES;
        }
        Map<String, UpstreamLoad> loads = new HashMap<>();
        for (InstanceState each : state.instances().all()) {
            UpstreamLoad load = each.ownLoad();
            if (load.kvCacheTokens() > 0 && loads.size() < maxLoads) {
                loads.put(each.instance().id(), load);
            }
        }
        Map<Long, Map<String, VersionCounts>> counts = new HashMap<>();
        rollouts.activeRollouts()
                .values()
                .forEach(each -> counts.put(each.order().number(), each.ownCounts()));
        return new RouterLoad(
                settings.name(),
                incarnation,
                ++sequence,
                counts,
                suspects.latest(MAX_SUSPECTS),
                suspectParts,
                endedIncarnations.recent(clock.nowMillis()),
                loads,
                paces);
    }

    /** Returns the freshest paces that this router knows from responses to it. */
    private List<ReportedPace> ownPaces(long nowMillis) {
        return state.instances().all().stream()
                .map(each -> each.pace().ownWithin(each.instance().id(), MAX_PACE_AGE_MILLIS, nowMillis))
                .filter(Objects::nonNull)
                .sorted(Comparator.comparingLong(ReportedPace::ageMillis))
                .limit(MAX_PACES)
                .toList();
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                RouterLoad reported = LoadCodec.decode(ByteBufUtil.getBytes(packet.content()));
                peers.record(reported, clock.nowMillis());
                state.instances().recordPaces(reported.paces(), clock.nowMillis());
                suspects.merge(reported.suspects());
                promptParts.merge(reported.suspectPromptParts());
                applyEndedIncarnations(reported);
                reported.rolloutCounts()
                        .forEach((order, counts) -> rollouts.recordReportedCounts(reported.router(), order, counts));
            } catch (TException malformed) {
                log.line("load_not_read").text("error", malformed.toString()).write();
            }
        }

        private void applyEndedIncarnations(RouterLoad reported) {
            for (InstanceState each : endedIncarnations.applyReported(
                    reported.endedIncarnations(), state.instances(), clock.nowMillis())) {
                log.line("upstream_gone")
                        .text("upstream", each.instance().id())
                        .text("reason", "told")
                        .text("router", reported.router())
                        .write();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            onFault(cause);
        }
    }
}
