package io.laburnummoor.core.connection;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

/**
 * What this router knows about one upstream; shared by all requests through atomics.
 *
 * <p>Evidence is ranked: what requests met in the last seconds goes before the agent's heartbeat, and the heartbeat
 * before the VM list.
 */
public final class UpstreamState {
    /** Time for which a refused or broken connection keeps new work away, unless a later heartbeat clears it. */
    static final long EJECTION_MILLIS = 2_000;
    /** Age at which a heartbeat no longer proves that the agent is alive. */
    static final long HEARTBEAT_TIMEOUT_MILLIS = 3_000;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final Upstream upstream;
    private final AtomicInteger inFlightCount = new AtomicInteger();
    private final AtomicLong ejectedUntilMillis = new AtomicLong(NEVER_MILLIS);
    private final AtomicLong stalledUntilMillis = new AtomicLong(NEVER_MILLIS);
    private final AtomicLong leavingIncarnation = new AtomicLong(NEVER_MILLIS);
    private final AtomicLong downAtMillis = new AtomicLong(NEVER_MILLIS);
    private final AtomicReference<@Nullable Object> isolationOwner = new AtomicReference<>();
    private final ConcurrencyTarget concurrencyTarget = new ConcurrencyTarget();
    private final AtomicReference<@Nullable Heartbeat> heartbeat = new AtomicReference<>();

    /** Creates the state of an upstream of which nothing is known but its addresses. */
    public UpstreamState(Upstream upstream) {
        this.upstream = upstream;
    }

    /** Returns the addresses and place of this upstream. */
    public Upstream upstream() {
        return upstream;
    }

    /** Counts a request that is sent to this upstream. */
    public void requestStarted() {
        inFlightCount.incrementAndGet();
    }

    /** Counts the end of a request that was sent to this upstream. */
    public void requestEnded() {
        inFlightCount.decrementAndGet();
    }

    /** Records that a request met a refused or broken connection. */
    public void recordFailure(long nowMillis) {
        ejectedUntilMillis.accumulateAndGet(nowMillis + EJECTION_MILLIS, Math::max);
    }

    /** Records that a request's stream has been silent for too long. */
    public void recordStalledStream(long nowMillis) {
        stalledUntilMillis.accumulateAndGet(nowMillis + EJECTION_MILLIS, Math::max);
    }

    /** Records a heartbeat of the agent. A new incarnation of the upstream clears failures of the one before. */
    public void recordHeartbeat(UpstreamReport report, long nowMillis) {
        Heartbeat before = heartbeat.getAndSet(new Heartbeat(report, nowMillis, inFlightCount.get()));
        if (report.leaving()) {
            leavingIncarnation.set(report.upstreamIncarnation());
        }
        concurrencyTarget.record(report.runningCount(), report.waitingCount());
        if (before != null
                && before.report.upstreamAlive()
                && (!report.upstreamAlive() || before.report.upstreamIncarnation() != report.upstreamIncarnation())) {
            downAtMillis.set(nowMillis);
        }
        if (before != null && before.report.upstreamIncarnation() != report.upstreamIncarnation()) {
            ejectedUntilMillis.set(NEVER_MILLIS);
            stalledUntilMillis.set(NEVER_MILLIS);
        }
    }

    /** Returns whether new work may be sent to this upstream. */
    public boolean isAvailable(long nowMillis) {
        Heartbeat last = heartbeat.get();
        return last != null
                && nowMillis >= ejectedUntilMillis.get()
                && last.report.upstreamAlive()
                && !isLeaving()
                && !upstream.leaving()
                && isAgentAlive(nowMillis);
    }

    /** Records that the upstream refused work because it leaves. */
    public void recordLeaving() {
        Heartbeat last = heartbeat.get();
        if (last != null) {
            leavingIncarnation.set(last.report.upstreamIncarnation());
        }
    }

    /** Returns whether the upstream takes no new work any more; final for one incarnation. */
    public boolean isLeaving() {
        Heartbeat last = heartbeat.get();
        return last != null && (last.report.leaving() || last.report.upstreamIncarnation() == leavingIncarnation.get());
    }

    /** Returns whether the agent has answered within the heartbeat timeout. */
    public boolean isAgentAlive(long nowMillis) {
        Heartbeat last = heartbeat.get();
        return last != null && nowMillis - last.receivedAtMillis < HEARTBEAT_TIMEOUT_MILLIS;
    }

    /** Returns whether a stream of this upstream was silent for too long in the last seconds. */
    public boolean hasStalledStream(long nowMillis) {
        return nowMillis < stalledUntilMillis.get();
    }

    /** Returns how many requests this upstream should have at once, over all routers. */
    public int concurrencyTarget() {
        return concurrencyTarget.get();
    }

    /** Returns when a heartbeat last showed that the upstream's process had ended, or a time long past. */
    public long downAtMillis() {
        return downAtMillis.get();
    }

    /** Returns when the last heartbeat arrived, or a time long past. */
    public long heartbeatAtMillis() {
        Heartbeat last = heartbeat.get();
        return last == null ? NEVER_MILLIS : last.receivedAtMillis;
    }

    /** Keeps new work of others away until {@link #endIsolation}; returns whether the owner has the upstream now. */
    public boolean isolate(Object owner) {
        return isolationOwner.compareAndSet(null, owner) || isolationOwner.get() == owner;
    }

    /** Lets others send new work again. */
    public void endIsolation(Object owner) {
        isolationOwner.compareAndSet(owner, null);
    }

    /** Returns whether new work is kept away because a suspected request runs alone here. */
    public boolean isIsolated() {
        return isolationOwner.get() != null;
    }

    /** Returns the last report, or null if there is none. */
    public @Nullable UpstreamReport report() {
        Heartbeat last = heartbeat.get();
        return last == null ? null : last.report;
    }

    /**
     * Returns the estimated number of requests in this upstream: the reported number, corrected by what this router has
     * started and ended since the report.
     */
    public int estimatedLoad() {
        int ownCount = inFlightCount.get();
        Heartbeat last = heartbeat.get();
        if (last == null) {
            return ownCount;
        }
        int reportedCount = last.report.runningCount() + last.report.waitingCount();
        int othersCount = Math.max(0, reportedCount - last.inFlightCountAtReport);
        return othersCount + ownCount;
    }

    /** Returns the number of requests that this router has sent and that have not ended. */
    public int inFlightCount() {
        return inFlightCount.get();
    }

    private record Heartbeat(UpstreamReport report, long receivedAtMillis, int inFlightCountAtReport) {}
}
