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
 * Detects requests that crash upstreams and blocks them. A router's generations record losses and query it on any
 * thread; the router exchange calls {@link #tick()} and exchanges suspects with other routers.
 *
 * <p>A lost connection is first a pending loss. It counts as a crash once the agent has confirmed that the upstream's
 * process has ended, unless another upstream of the failure domain has ended within {@link #DOMAIN_WINDOW_MILLIS}: then
 * the domain has failed and no request is blamed.
 */
public final class Quarantine {
    /** Crashes in one failure domain within this time are one domain failure, which is attributed to no request. */
    static final long DOMAIN_WINDOW_MILLIS = 2_000;
    /** Age at which a pending loss is decided: the window and the delay of a heartbeat that reports another crash. */
    static final long DECISION_DELAY_MILLIS = DOMAIN_WINDOW_MILLIS + 1_500;

    private final RoutingTable routing;
    private final Clock clock;
    private final Clock wallClock;
    private final CrashSuspectTable suspects;
    private final Queue<PendingLoss> pendingLosses = new ConcurrentLinkedQueue<>();

    public Quarantine(RoutingTable routing, Clock clock, Clock wallClock) {
        this.routing = routing;
        this.clock = clock;
        this.wallClock = wallClock;
        this.suspects = new CrashSuspectTable(wallClock);
    }

    /**
     * Records that the connection to an upstream was lost while a request ran there.
     *
     * @param incarnation incarnation of the upstream when the request was sent
     * @param isolated whether the request ran there alone
     */
    public void recordLoss(String fingerprint, Upstream upstream, long incarnation, boolean isolated) {
        pendingLosses.add(new PendingLoss(
                fingerprint, upstream, incarnation, isolated, clock.nowMillis(), wallClock.nowMillis()));
    }

    /** Records that a request ran alone and completed, which clears it: its earlier crashes were caused by others. */
    public void recordIsolatedSuccess(String fingerprint) {
        pendingLosses.removeIf(each -> each.fingerprint.equals(fingerprint));
        suspects.recordIsolatedSuccess(fingerprint);
    }

    /** Decides pending losses that are old enough and removes expired suspects. Called by one thread. */
    public void tick() {
        long nowMillis = clock.nowMillis();
        pendingLosses.removeIf(each -> {
            if (nowMillis - each.atMillis < DECISION_DELAY_MILLIS) {
                return false;
            }
            if (isConfirmed(each) && !isDomainFailure(each)) {
                suspects.recordCrash(
                        each.fingerprint, new CrashRecord(each.upstream.id(), each.wallMillis, each.isolated));
            }
            return true;
        });
        suspects.expire();
    }

    /** Merges the suspects that another router reported. */
    public void merge(List<CrashSuspect> received) {
        suspects.merge(received);
    }

    /** Returns the latest suspects to report to other routers, the blocked ones first. */
    public List<CrashSuspect> latest(int maxCount) {
        return suspects.latest(maxCount);
    }

    /** Returns whether a request must not run. */
    public boolean isBlocked(String fingerprint) {
        return suspects.isBlocked(fingerprint);
    }

    /** Returns whether a request may only run alone on an upstream. */
    public boolean needsIsolation(String fingerprint) {
        return suspects.crashCount(fingerprint) + pendingLossCount(fingerprint) >= CrashSuspect.ISOLATION_CRASHES;
    }

    /** Returns whether a request has to wait until the loss of an attempt that ran alone is decided. */
    public boolean isAwaitingDecision(String fingerprint) {
        return pendingLosses.stream().anyMatch(each -> each.fingerprint.equals(fingerprint) && each.isolated);
    }

    /**
     * Returns the failure domains of a request's pending losses. The next attempt must not run there: together with the
     * pending loss, a crash there would look like a domain failure and would not be counted.
     */
    public Set<String> pendingLossDomains(String fingerprint) {
        return pendingLosses.stream()
                .filter(each -> each.fingerprint.equals(fingerprint))
                .map(each -> each.upstream.failureDomain())
                .collect(Collectors.toSet());
    }

    /** Returns the number of blocked fingerprints. */
    public long blockedCount() {
        return suspects.blockedCount();
    }

    private long pendingLossCount(String fingerprint) {
        return pendingLosses.isEmpty()
                ? 0
                : pendingLosses.stream()
                        .filter(each -> each.fingerprint.equals(fingerprint))
                        .count();
    }

    /**
     * Returns whether the agent has confirmed the crash. Without a heartbeat since the loss, the VM or the network may
     * have failed, which no request causes.
     */
    private boolean isConfirmed(PendingLoss loss) {
        UpstreamState state = routing.snapshot().find(loss.upstream.id());
        UpstreamReport report = state == null ? null : state.report();
        return state != null
                && report != null
                && state.heartbeatAtMillis() > loss.atMillis
                && (!report.upstreamAlive() || report.upstreamIncarnation() != loss.incarnation);
    }

    private boolean isDomainFailure(PendingLoss loss) {
        for (UpstreamState each : routing.snapshot().all()) {
            if (each.upstream().failureDomain().equals(loss.upstream.failureDomain())
                    && !each.upstream().id().equals(loss.upstream.id())
                    && isCorrelated(each, loss.atMillis)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether another upstream failed at about the same time. An agent whose heartbeats ended then counts as
     * well, because its VM may be lost.
     */
    private static boolean isCorrelated(UpstreamState other, long atMillis) {
        long downMillis = other.downAtMillis();
        boolean down = downMillis >= atMillis - DOMAIN_WINDOW_MILLIS && downMillis <= atMillis + DECISION_DELAY_MILLIS;
        long lastHeartbeatMillis = other.heartbeatAtMillis();
        boolean heartbeatsEnded =
                lastHeartbeatMillis >= atMillis - DOMAIN_WINDOW_MILLIS && lastHeartbeatMillis <= atMillis;
        return down || heartbeatsEnded;
    }

    private record PendingLoss(
            String fingerprint,
            Upstream upstream,
            long incarnation,
            boolean isolated,
            long atMillis,
            long wallMillis) {}
}
