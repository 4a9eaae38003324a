package io.laburnummoor.core.connection;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

/**
 * State that this router keeps for one upstream in the VM list; thread-safe, shared by all requests. The corresponding
 * class of the module laburnummoor-gateway is {@link InstanceState}.
 *
 * <p>Failures that requests met within the last seconds take precedence over the agent's heartbeat, and the heartbeat
 * over the VM list.
 */
public final class UpstreamState {
    /** Time for which a failed connection ejects the upstream, unless a heartbeat reports a new incarnation earlier. */
    static final long EJECTION_MILLIS = 2_000;
    /** Age at which the last heartbeat no longer counts as proof that the agent is alive. */
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

    /** Creates the state of an upstream of which only the entry in the VM list is known. */
    public UpstreamState(Upstream upstream) {
        this.upstream = upstream;
    }

    /** Returns the entry in the VM list. */
    public Upstream upstream() {
        return upstream;
    }

    /** Adds a request that is sent to this upstream. */
    public void requestStarted() {
        inFlightCount.incrementAndGet();
    }

    /** Removes a request that has ended. */
    public void requestEnded() {
        inFlightCount.decrementAndGet();
    }

    /** Records that the connection of a request was refused or broke. */
    public void recordFailure(long nowMillis) {
        ejectedUntilMillis.accumulateAndGet(nowMillis + EJECTION_MILLIS, Math::max);
    }

    /** Records that the stream of a request has stalled: it made no progress for too long. */
    public void recordStalledStream(long nowMillis) {
        stalledUntilMillis.accumulateAndGet(nowMillis + EJECTION_MILLIS, Math::max);
    }

    /** Records a heartbeat of the agent. A new incarnation of the upstream clears failures of the previous one. */
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

    /** Records that the upstream refused work because it is leaving. */
    public void recordLeaving() {
        Heartbeat last = heartbeat.get();
        if (last != null) {
            leavingIncarnation.set(last.report.upstreamIncarnation());
        }
    }

    /** Returns whether the upstream accepts no new work any more; this is final for one incarnation. */
    public boolean isLeaving() {
        Heartbeat last = heartbeat.get();
        return last != null && (last.report.leaving() || last.report.upstreamIncarnation() == leavingIncarnation.get());
    }

    /** Returns whether a heartbeat arrived within {@link #HEARTBEAT_TIMEOUT_MILLIS}. */
    public boolean isAgentAlive(long nowMillis) {
        Heartbeat last = heartbeat.get();
        return last != null && nowMillis - last.receivedAtMillis < HEARTBEAT_TIMEOUT_MILLIS;
    }

    /** Returns whether a stream of this upstream stalled within the last seconds. */
    public boolean hasStalledStream(long nowMillis) {
        return nowMillis < stalledUntilMillis.get();
    }

    /** Returns the target number of concurrent requests over all routers. */
    public int concurrencyTarget() {
        return concurrencyTarget.get();
    }

    /** Returns when a heartbeat last showed that the upstream's process had ended, or a time in the distant past. */
    public long downAtMillis() {
        return downAtMillis.get();
    }

    /** Returns when the last heartbeat arrived, or a time in the distant past. */
    public long heartbeatAtMillis() {
        Heartbeat last = heartbeat.get();
        return last == null ? NEVER_MILLIS : last.receivedAtMillis;
    }

    /** Reserves the upstream for an owner until {@link #endIsolation}; returns whether the owner now holds it. */
    public boolean isolate(Object owner) {
        return isolationOwner.compareAndSet(null, owner) || isolationOwner.get() == owner;
    }

    /** Ends the reservation if the given owner holds it. */
    public void endIsolation(Object owner) {
        isolationOwner.compareAndSet(owner, null);
    }

    /** Returns whether the upstream is reserved for a crash suspect, so that it runs there alone. */
    public boolean isIsolated() {
        return isolationOwner.get() != null;
    }

    /** Returns the content of the last heartbeat, or null if there was none. */
    public @Nullable UpstreamReport report() {
        Heartbeat last = heartbeat.get();
        return last == null ? null : last.report;
    }

    /**
     * Returns the estimated number of requests on this upstream: the reported number, corrected by the requests that
     * this router has started and ended since the report.
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

    /** Returns the number of requests that this router has in flight on this upstream. */
    public int inFlightCount() {
        return inFlightCount.get();
    }

    private record Heartbeat(UpstreamReport report, long receivedAtMillis, int inFlightCountAtReport) {}
}
