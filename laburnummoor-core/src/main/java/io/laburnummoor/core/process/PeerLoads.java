package io.laburnummoor.core.process;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamLoad;

/**
 * Load that all other routers of a gateway together put on each upstream. Selections read the sums without a lock. A
 * report changes only the sums of the upstreams that it or its predecessor names, so that its cost does not grow with
 * the number of routers: answers fleets in which hundreds of routers report each change of theirs.
 */
public final class PeerLoads {
    /** Time for which the load that a router reported counts, unless it reports again. */
    public static final long VALID_MILLIS = 2_500;

    /** Router names come from datagrams, so their number is bounded; far above the size of the largest fleet. */
    static final int MAX_ROUTERS = 2_000;

    private static final long NEVER_MILLIS = Long.MAX_VALUE;

    private final ConcurrentHashMap<String, ReceivedLoad> byRouter = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, UpstreamLoad> totals = new ConcurrentHashMap<>();
    private final AtomicLong oldestReportMillis = new AtomicLong(NEVER_MILLIS);

    /** Records the load that a router reported, unless a newer report is known. */
    public void record(RouterLoad reported, long nowMillis) {
        byRouter.compute(reported.router(), (router, last) -> {
            boolean outdated = last != null && !reported.isNewerThan(last.load);
            if (outdated || (last == null && byRouter.size() >= MAX_ROUTERS)) {
                return last;
            }
            reported.loadById().forEach((id, load) -> totals.merge(id, load, UpstreamLoad::plus));
            if (last != null) {
                subtract(last.load);
            }
            return new ReceivedLoad(reported, nowMillis);
        });
        updateOldestReport();
    }

    /** Removes the loads of routers that have not reported for {@link #VALID_MILLIS}. */
    public void expire(long nowMillis) {
        for (String each : byRouter.keySet()) {
            byRouter.computeIfPresent(each, (router, last) -> {
                if (nowMillis - last.atMillis <= VALID_MILLIS) {
                    return last;
                }
                subtract(last.load);
                return null;
            });
        }
        updateOldestReport();
    }

    private void subtract(RouterLoad former) {
        former.loadById()
                .forEach((id, load) -> totals.computeIfPresent(id, (same, total) -> {
                    UpstreamLoad left = total.minus(load);
                    return left.equals(UpstreamLoad.NONE) ? null : left;
                }));
    }

    private void updateOldestReport() {
        long oldest = NEVER_MILLIS;
        for (ReceivedLoad each : byRouter.values()) {
            oldest = Math.min(oldest, each.atMillis);
        }
        oldestReportMillis.set(oldest);
    }

    /** Returns the load that all other routers together put on an upstream. */
    public UpstreamLoad of(String upstreamId) {
        return totals.getOrDefault(upstreamId, UpstreamLoad.NONE);
    }

    /** Returns the load that all routers, this one included, put on an upstream. */
    public UpstreamLoad totalOf(InstanceState upstream) {
        return upstream.ownLoad().plus(of(upstream.instance().id()));
    }

    /** Returns the number of routers that have reported recently. */
    public int routerCount() {
        return byRouter.size();
    }

    /** Returns the age of the oldest report that still counts, or -1 if no router has reported recently. */
    public long oldestReportAgeMillis(long nowMillis) {
        long oldest = oldestReportMillis.get();
        return oldest == NEVER_MILLIS ? -1 : Math.max(0, nowMillis - oldest);
    }

    private record ReceivedLoad(RouterLoad load, long atMillis) {}
}
