package io.laburnummoor.router.connection;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.process.RouterPeers;
import io.laburnummoor.wire.connection.ThriftConnection;
import io.laburnummoor.wire.generated.EvidenceReply;
import io.laburnummoor.wire.generated.EvidenceReport;
import io.laburnummoor.wire.generated.RolloutService;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Sends evidence reports to the controller and rollout halts to all routers. */
public final class RolloutPeers implements Service {
    private static final Logger LOGGER = Logger.getLogger(RolloutPeers.class);
    private static final int TIMEOUT_MILLIS = 500;
    private static final int HALT_THREADS = 4;

    private final RouterPeers routers;
    private final String ownName;
    private final ConcurrentHashMap<RouterPeer, ThriftConnection<RolloutService.Client>> reportConnections =
            new ConcurrentHashMap<>();
    private final ExecutorService haltExecutor =
            Executors.newFixedThreadPool(HALT_THREADS, task -> new Thread(task, "rollout-halt"));

    /** Creates a client of the routers on the VM list; connections are opened on first use. */
    public RolloutPeers(RouterPeers routers, String ownName) {
        this.routers = routers;
        this.ownName = ownName;
    }

    /** Sends a report to a router by name and returns its reply, or null if it does not answer. Used by one thread. */
    public @Nullable EvidenceReply report(String routerName, EvidenceReport report) {
        for (RouterPeer peer : routers.all()) {
            if (peer.name().equals(routerName)) {
                try {
                    return reportConnections
                            .computeIfAbsent(peer, RolloutPeers::connect)
                            .call(each -> each.report(report));
                } catch (LaburnummoorException unanswered) {
                    LOGGER.debugf("controller %s did not answer an evidence report", routerName);
                    return null;
                }
            }
        }
        return null;
    }

    /** Returns the number of routers on the VM list, at least 1. */
    public int count() {
        return Math.max(1, routers.all().size());
    }

    /** Halts a rollout on all other routers. A router that does not answer learns of the halt from its next read. */
    public void haltOnRouters(String rollout, String reason) {
        for (RouterPeer peer : routers.all()) {
            if (!peer.name().equals(ownName)) {
                haltExecutor.execute(() -> sendHalt(peer, rollout, reason));
            }
        }
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        haltExecutor.shutdownNow();
        reportConnections.values().forEach(ThriftConnection::close);
    }

    private static void sendHalt(RouterPeer peer, String rollout, String reason) {
        try (ThriftConnection<RolloutService.Client> connection = connect(peer)) {
            connection.call(each -> {
                each.applyBrake(rollout, reason);
                return true;
            });
        } catch (LaburnummoorException unanswered) {
            LOGGER.warnf("router %s did not acknowledge the halt of rollout %s", peer.name(), rollout);
        }
    }

    private static ThriftConnection<RolloutService.Client> connect(RouterPeer peer) {
        return new ThriftConnection<>(
                peer.host(), peer.peerPort(), TIMEOUT_MILLIS, "rollouts", RolloutService.Client::new);
    }
}
