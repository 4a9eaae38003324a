package io.laburnummoor.router.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.connection.Upstream;
import io.laburnummoor.core.connection.UpstreamState;
import io.laburnummoor.core.process.JournalPlacement;
import io.laburnummoor.core.process.RendezvousHash;
import io.laburnummoor.core.process.RoutingTable;
import io.laburnummoor.core.request.JournalAgent;
import io.laburnummoor.core.request.JournalAgents;
import io.laburnummoor.core.request.RequestId;
import org.jspecify.annotations.Nullable;

/** Selects the agents that store journals and manages the connections to them. */
public final class JournalPeers implements JournalAgents, Service {
    private static final int READ_CANDIDATES = 4;
    /** Selecting the subset from 10,000 agents for each request is too costly; it changes only with membership. */
    private static final long SUBSET_REFRESH_MILLIS = 500;

    private final RoutingTable routing;
    private final String routerName;
    private final String failureDomain;
    private final int agentsPerDomain;
    private final Clock clock;
    private final Snapshot<Subset> subset = new Snapshot<>(new Subset(List.of(), Long.MIN_VALUE));
    private final ConcurrentHashMap<Upstream, JournalPeer> peers = new ConcurrentHashMap<>();

    /** Creates the journal connections of a router. */
    public JournalPeers(
            RoutingTable routing, String routerName, String failureDomain, int agentsPerDomain, Clock clock) {
        this.agentsPerDomain = agentsPerDomain;
        this.routing = routing;
        this.routerName = routerName;
        this.failureDomain = failureDomain;
        this.clock = clock;
    }

    @Override
    public @Nullable JournalAgent select(RequestId id, Set<String> excludedAgentIds) {
        JournalPeer sameDomain = null;
        for (UpstreamState each : ranked(id)) {
            if (excludedAgentIds.contains(each.upstream().id())) {
                continue;
            }
            if (!each.upstream().failureDomain().equals(failureDomain)) {
                return peerFor(each.upstream());
            }
            if (sameDomain == null) {
                sameDomain = peerFor(each.upstream());
            }
        }
        return sameDomain;
    }

    /**
     * Returns the agents that may hold the entry: the named one, the top-ranked ones, and the first one outside the
     * failure domain of the top-ranked one.
     */
    @Override
    public List<JournalAgent> readCandidates(RequestId id, @Nullable String namedAgentId) {
        List<JournalAgent> candidates = new ArrayList<>();
        UpstreamState named = namedAgentId == null ? null : routing.snapshot().find(namedAgentId);
        if (named != null) {
            candidates.add(peerFor(named.upstream()));
        }
        List<UpstreamState> ranked = ranked(id);
        String firstDomain = ranked.isEmpty() ? "" : ranked.get(0).upstream().failureDomain();
        boolean otherDomainSeen = false;
        for (int i = 0; i < ranked.size(); i++) {
            Upstream agent = ranked.get(i).upstream();
            boolean otherDomain = !agent.failureDomain().equals(firstDomain);
            if (i < READ_CANDIDATES || (otherDomain && !otherDomainSeen)) {
                addIfAbsent(candidates, peerFor(agent));
            }
            otherDomainSeen |= otherDomain;
        }
        return candidates;
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        peers.values().forEach(JournalPeer::stop);
    }

    private List<UpstreamState> ranked(RequestId id) {
        long nowMillis = clock.nowMillis();
        Subset current = subset.get();
        if (nowMillis >= current.refreshAtMillis()) {
            current = refresh(nowMillis);
        }
        List<UpstreamState> alive = current.agents().stream()
                .filter(each -> each.isAgentAlive(nowMillis))
                .toList();
        return RendezvousHash.rank(id.toString(), alive, each -> each.upstream().id());
    }

    private Subset refresh(long nowMillis) {
        List<UpstreamState> alive = routing.snapshot().all().stream()
                .filter(each -> each.isAgentAlive(nowMillis))
                .toList();
        Subset next = new Subset(
                JournalPlacement.selectAgents(alive, agentsPerDomain),
                // An empty subset is recomputed on the next use: at startup no agent has answered yet.
                alive.isEmpty() ? nowMillis : nowMillis + SUBSET_REFRESH_MILLIS);
        subset.replace(next);
        return next;
    }

    private record Subset(List<UpstreamState> agents, long refreshAtMillis) {}

    private JournalPeer peerFor(Upstream agent) {
        return peers.computeIfAbsent(agent, added -> {
            JournalPeer peer = new JournalPeer(added, routerName, failureDomain);
            peer.start();
            return peer;
        });
    }

    private static void addIfAbsent(List<JournalAgent> candidates, JournalPeer peer) {
        if (!candidates.contains(peer)) {
            candidates.add(peer);
        }
    }
}
