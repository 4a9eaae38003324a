package io.laburnummoor.core.process;

import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.connection.CrashRecord;
import io.laburnummoor.core.connection.Upstream;
import io.laburnummoor.core.connection.UpstreamReport;
import io.laburnummoor.core.connection.UpstreamState;

/**
 * Finds the requests that crash upstreams and blocks them.
 *
 * <p>A lost connection is first a suspicion. It becomes a counted crash when the agent has confirmed that the
 * upstream's process has ended, unless another upstream of the failure domain has ended within {@link
 * #DOMAIN_WINDOW_MILLIS}: then the cause lies in the domain and no request is blamed.
 */
public final class Quarantine {
    /** Crashes in one failure domain within this time are one event that is attributed to no request. */
    static final long DOMAIN_WINDOW_MILLIS = 2_000;
    /** Age at which a suspicion is decided: the window and the delay of a heartbeat that reports another crash. */
    static final long DECISION_MILLIS = DOMAIN_WINDOW_MILLIS + 1_500;

    private final RoutingTable routing;
    private final Clock clock;
    private final Clock wallClock;
    private final SuspectTable table;
    private final Queue<Suspicion> undecided = new ConcurrentLinkedQueue<>();

    /** Creates an empty quarantine. */
    public Quarantine(RoutingTable routing, Clock clock, Clock wallClock) {
        this.routing = routing;
        this.clock = clock;
        this.wallClock = wallClock;
        this.table = new SuspectTable(wallClock);
    }

    /**
     * Records that the connection to an upstream was lost while a request ran there.
     *
     * @param incarnation incarnation of the upstream when the request was sent
     * @param isolated whether the request ran there alone
     */
    public void recordLoss(String fingerprint, Upstream upstream, long incarnation, boolean isolated) {
        undecided.add(
                new Suspicion(fingerprint, upstream, incarnation, isolated, clock.nowMillis(), wallClock.nowMillis()));
    }

    /** Records that a request ran alone to its end: its earlier crashes were caused by others. */
    public void recordInnocence(String fingerprint) {
        undecided.removeIf(each -> each.fingerprint.equals(fingerprint));
        table.recordInnocence(fingerprint);
    }

    /** Decides suspicions that are old enough and forgets what has expired. Called by one thread. */
    public void tick() {
        long nowMillis = clock.nowMillis();
        undecided.removeIf(each -> {
            if (nowMillis - each.atMillis < DECISION_MILLIS) {
                return false;
            }
            if (isConfirmed(each) && !isDomainEvent(each)) {
                table.recordCrash(
                        each.fingerprint, new CrashRecord(each.upstream.id(), each.wallMillis, each.isolated));
            }
            return true;
        });
        table.expire();
    }

    /** Takes over what another router knows. */
    public void merge(List<Suspect> received) {
        table.merge(received);
    }

    /** Returns the latest suspects for other routers, the blocked ones first. */
    public List<Suspect> latest(int maxCount) {
        return table.latest(maxCount);
    }

    /** Returns whether a request must not run. */
    public boolean isBlocked(String fingerprint) {
        return table.isBlocked(fingerprint);
    }

    /** Returns whether a request may run only where it is alone. */
    public boolean needsIsolation(String fingerprint) {
        return table.crashCount(fingerprint) + undecidedCount(fingerprint) >= Suspect.ISOLATION_CRASHES;
    }

    /** Returns whether a request has to wait until the loss of an attempt that ran alone is decided. */
    public boolean isUndecided(String fingerprint) {
        return undecided.stream().anyMatch(each -> each.fingerprint.equals(fingerprint) && each.isolated);
    }

    /**
     * Returns the failure domains of losses that are not decided. The next attempt must not run there: a crash there
     * would look like one event together with the loss before, and count against nobody.
     */
    public Set<String> undecidedDomains(String fingerprint) {
        return undecided.stream()
                .filter(each -> each.fingerprint.equals(fingerprint))
                .map(each -> each.upstream.failureDomain())
                .collect(Collectors.toSet());
    }

    /** Returns the number of blocked fingerprints. */
    public long blockedCount() {
        return table.blockedCount();
    }

    private long undecidedCount(String fingerprint) {
        return undecided.isEmpty()
                ? 0
                : undecided.stream()
                        .filter(each -> each.fingerprint.equals(fingerprint))
                        .count();
    }

    /** Without a heartbeat since the loss, the VM or the network may be gone, which no request causes. */
    private boolean isConfirmed(Suspicion suspicion) {
        UpstreamState state = routing.snapshot().find(suspicion.upstream.id());
        UpstreamReport report = state == null ? null : state.report();
        return state != null
                && report != null
                && state.heartbeatAtMillis() > suspicion.atMillis
                && (!report.upstreamAlive() || report.upstreamIncarnation() != suspicion.incarnation);
    }

    private boolean isDomainEvent(Suspicion suspicion) {
        for (UpstreamState each : routing.snapshot().all()) {
            if (each.upstream().failureDomain().equals(suspicion.upstream.failureDomain())
                    && !each.upstream().id().equals(suspicion.upstream.id())
                    && isTogether(each, suspicion.atMillis)) {
                return true;
            }
        }
        return false;
    }

    /** An agent that fell silent at that time counts as well: its VM may be lost. */
    private static boolean isTogether(UpstreamState other, long atMillis) {
        long downMillis = other.downAtMillis();
        boolean down = downMillis >= atMillis - DOMAIN_WINDOW_MILLIS && downMillis <= atMillis + DECISION_MILLIS;
        long heardMillis = other.heartbeatAtMillis();
        boolean silent = heardMillis >= atMillis - DOMAIN_WINDOW_MILLIS && heardMillis <= atMillis;
        return down || silent;
    }

    private record Suspicion(
            String fingerprint,
            Upstream upstream,
            long incarnation,
            boolean isolated,
            long atMillis,
            long wallMillis) {}
}
