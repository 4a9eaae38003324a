package io.laburnummoor.router.process;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.connection.Upstream;
import io.laburnummoor.core.connection.UpstreamReport;
import io.laburnummoor.core.connection.UpstreamState;
import io.laburnummoor.core.process.RouterPeers;
import io.laburnummoor.core.process.RoutingTable;
import io.laburnummoor.wire.connection.ThriftConnection;
import io.laburnummoor.wire.generated.AgentService;
import io.laburnummoor.wire.generated.AgentStatus;
import io.laburnummoor.wire.process.PeriodicTask;
import io.laburnummoor.wire.process.VmList;
import io.laburnummoor.wire.process.VmListClient;
import org.jboss.logging.Logger;

/** Keeps the routing table and the list of routers up to date from the VM list, and polls agents for their status. */
public final class Membership implements Service {
    private static final Logger LOGGER = Logger.getLogger(Membership.class);
    private static final long VM_LIST_INTERVAL_MILLIS = 1_000;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;
    private static final int HEARTBEAT_TIMEOUT_MILLIS = 500;
    private static final int HEARTBEAT_THREADS = 8;

    private final RoutingTable routing;
    private final RouterPeers peers;
    private final VmListClient vmList;
    private final String routerName;
    private final Clock clock;
    private final PeriodicTask vmListTask = new PeriodicTask("vm-list", VM_LIST_INTERVAL_MILLIS, this::readVmList);
    private final PeriodicTask heartbeatTask =
            new PeriodicTask("heartbeat-timer", HEARTBEAT_INTERVAL_MILLIS, this::pollAgents);
    private final ExecutorService heartbeatExecutor =
            Executors.newFixedThreadPool(HEARTBEAT_THREADS, task -> new Thread(task, "heartbeat"));
    private final ConcurrentHashMap<Upstream, ThriftConnection<AgentService.Client>> agentConnections =
            new ConcurrentHashMap<>();
    private final Set<Upstream> polledUpstreams = ConcurrentHashMap.newKeySet();

    /** Creates a membership that updates the given tables; the clock is monotonic. */
    public Membership(RoutingTable routing, RouterPeers peers, VmListClient vmList, String routerName, Clock clock) {
        this.routing = routing;
        this.peers = peers;
        this.vmList = vmList;
        this.routerName = routerName;
        this.clock = clock;
    }

    @Override
    public void start() {
        readVmList();
        vmListTask.start();
        heartbeatTask.start();
    }

    @Override
    public void stop() {
        vmListTask.stop();
        heartbeatTask.stop();
        heartbeatExecutor.shutdownNow();
        agentConnections.values().forEach(ThriftConnection::close);
    }

    private void readVmList() {
        try {
            VmList list = vmList.read();
            routing.replace(list.upstreams());
            peers.replace(list.routers());
        } catch (IOException | RuntimeException failure) {
            LOGGER.warnf("cannot read the VM list, keeping the previous one: %s", failure.getMessage());
        }
    }

    private void pollAgents() {
        for (UpstreamState each : routing.snapshot().all()) {
            if (polledUpstreams.add(each.upstream())) {
                heartbeatExecutor.execute(() -> pollAgent(each));
            }
        }
    }

    private void pollAgent(UpstreamState state) {
        Upstream upstream = state.upstream();
        ThriftConnection<AgentService.Client> connection = agentConnections.computeIfAbsent(
                upstream,
                added -> new ThriftConnection<>(
                        added.host(), added.agentPort(), HEARTBEAT_TIMEOUT_MILLIS, "agent", AgentService.Client::new));
        try {
            AgentStatus status = connection.call(agent -> agent.status(routerName));
            state.recordHeartbeat(decode(status), clock.nowMillis());
        } catch (LaburnummoorException unanswered) {
            LOGGER.debugf("agent of upstream %s did not answer the heartbeat", upstream.id());
        } finally {
            polledUpstreams.remove(upstream);
        }
    }

    private static UpstreamReport decode(AgentStatus status) {
        return new UpstreamReport(
                status.getAgentIncarnation(),
                status.isUpstreamAlive(),
                status.getUpstreamIncarnation(),
                status.isLeaving(),
                status.getRunningCount(),
                status.getWaitingCount(),
                status.getVersion(),
                status.getAdapters());
    }
}
