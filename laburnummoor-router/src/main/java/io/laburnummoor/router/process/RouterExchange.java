package io.laburnummoor.router.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.process.AdmissionController;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.DemandTable;
import io.laburnummoor.core.process.PeerSubset;
import io.laburnummoor.core.process.Quarantine;
import io.laburnummoor.core.process.RouterPeers;
import io.laburnummoor.core.process.SharedLimits;
import io.laburnummoor.core.version.OrganisationDeclaration;
import io.laburnummoor.wire.connection.DigestCodec;
import io.laburnummoor.wire.connection.ThriftConnection;
import io.laburnummoor.wire.generated.Digest;
import io.laburnummoor.wire.generated.ExchangeService;
import io.laburnummoor.wire.process.PeriodicTask;
import org.jboss.logging.Logger;

/**
 * Gossips with a few random routers each second: exchanges digests of demand, crash suspects and the configuration
 * revision.
 */
public final class RouterExchange implements Service, ExchangeService.Iface {
    private static final Logger LOGGER = Logger.getLogger(RouterExchange.class);
    private static final long ROUND_INTERVAL_MILLIS = 1_000;
    private static final int PEERS_PER_ROUND = 2;
    private static final int TIMEOUT_MILLIS = 500;
    /** Limits a digest to a few kilobytes, so that a router's control traffic stays below 10 KB/s. */
    private static final int MAX_DEMANDS = 64;

    private static final int MAX_SUSPECTS = 16;
    /** A router whose demand is at most half of an equal share of the limit does not announce it. */
    private static final int ANNOUNCEMENT_DIVISOR = 2;

    private final String routerName;
    private final RouterPeers peers;
    private final ConfigHolder config;
    private final AdmissionController admission;
    private final SharedLimits limits;
    private final DemandTable demand;
    private final Quarantine quarantine;
    private final Clock clock;
    private final Clock wallClock;
    private final Random random = new Random();
    private final AtomicLong highestRevision = new AtomicLong();
    private final ConcurrentHashMap<RouterPeer, ThriftConnection<ExchangeService.Client>> connections =
            new ConcurrentHashMap<>();
    private final PeriodicTask roundTask = new PeriodicTask("router-exchange", ROUND_INTERVAL_MILLIS, this::runRound);

    /**
     * Creates the exchange of a router.
     *
     * @param clock monotonic clock
     * @param wallClock numbers this router's announcements, so that they increase across restarts
     */
    public RouterExchange(
            String routerName,
            RouterPeers peers,
            ConfigHolder config,
            AdmissionController admission,
            SharedLimits limits,
            DemandTable demand,
            Quarantine quarantine,
            Clock clock,
            Clock wallClock) {
        this.routerName = routerName;
        this.peers = peers;
        this.config = config;
        this.admission = admission;
        this.limits = limits;
        this.demand = demand;
        this.quarantine = quarantine;
        this.clock = clock;
        this.wallClock = wallClock;
    }

    @Override
    public void start() {
        roundTask.start();
    }

    @Override
    public void stop() {
        roundTask.stop();
        connections.values().forEach(ThriftConnection::close);
    }

    /** Returns the highest configuration revision that any router has reported. */
    public long highestRevision() {
        return highestRevision.get();
    }

    @Override
    public Digest exchange(Digest received) {
        Digest reply = createDigest();
        mergeDigest(received);
        return reply;
    }

    private void runRound() {
        List<RouterPeer> others = new ArrayList<>(peers.all());
        others.removeIf(each -> each.name().equals(routerName));
        int routerCount = others.size() + 1;
        demand.startRound(announcedDemand(routerCount), routerCount, wallClock.nowMillis(), clock.nowMillis());
        quarantine.tick();
        connections.keySet().removeIf(each -> !others.contains(each));
        for (RouterPeer each : PeerSubset.select(others, PEERS_PER_ROUND, random)) {
            exchangeWith(each);
        }
    }

    private void exchangeWith(RouterPeer peer) {
        ThriftConnection<ExchangeService.Client> connection = connections.computeIfAbsent(
                peer,
                added -> new ThriftConnection<>(
                        added.host(), added.peerPort(), TIMEOUT_MILLIS, "exchange", ExchangeService.Client::new));
        try {
            Digest own = createDigest();
            mergeDigest(connection.call(client -> client.exchange(own)));
        } catch (LaburnummoorException unanswered) {
            LOGGER.debugf("router %s did not answer the digest exchange", peer.name());
        }
    }

    private Digest createDigest() {
        return DigestCodec.encode(
                routerName,
                config.current().revision(),
                demand.takeAnnouncements(MAX_DEMANDS),
                quarantine.latest(MAX_SUSPECTS));
    }

    private void mergeDigest(Digest received) {
        demand.merge(DigestCodec.demands(received), clock.nowMillis());
        quarantine.merge(DigestCodec.suspects(received));
        highestRevision.accumulateAndGet(received.getConfigRevision(), Math::max);
    }

    private Map<Long, Integer> announcedDemand(int routerCount) {
        AdmissionController.Demand own = admission.demand();
        Map<Long, Integer> announced = new HashMap<>();
        own.organisations().forEach((name, count) -> {
            OrganisationDeclaration declared = config.current().organisation(name);
            int limit = declared == null ? 0 : declared.maxConcurrent();
            // The token rate may be the binding limit while few requests run, so demand is announced whenever a request
            // waits.
            if (own.waitingCount() > 0 || exceedsAnnouncementThreshold(count, limit, routerCount)) {
                announced.put(DemandTable.organisationKey(name), count);
            }
        });
        own.services().forEach((name, count) -> {
            if (own.waitingCount() > 0
                    || exceedsAnnouncementThreshold(count, limits.serviceTarget(name), routerCount)) {
                announced.put(DemandTable.serviceKey(name), count);
            }
        });
        return announced;
    }

    private static boolean exceedsAnnouncementThreshold(int count, int limit, int routerCount) {
        return (long) count * ANNOUNCEMENT_DIVISOR * routerCount > limit;
    }
}
