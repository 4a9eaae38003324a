package io.laburnummoor.core.process;

import java.util.HashMap;
import java.util.Map;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.connection.UpstreamLoad;

/**
 * Load that all other routers of a gateway together put on each upstream. A report replaces the immutable table as a
 * whole, so that the selection of an upstream reads it without a lock.
 */
public final class PeerLoads {
    /** Time for which the load that a router reported counts, unless it reports again. */
    public static final long VALID_MILLIS = 2_500;

    private final Snapshot<Table> table = new Snapshot<>(new Table(Map.of(), Map.of()));

    /** Records the load that a router reported, unless a newer report is known. */
    public void record(RouterLoad reported, long nowMillis) {
        table.update(before -> before.with(reported, nowMillis));
    }

    /** Removes the loads of routers that have not reported for {@link #VALID_MILLIS}. */
    public void expire(long nowMillis) {
        table.update(before -> before.without(nowMillis));
    }

    /** Returns the load that all other routers together put on an upstream. */
    public UpstreamLoad of(String upstreamId) {
        return table.get().totals.getOrDefault(upstreamId, UpstreamLoad.NONE);
    }

    /** Returns the number of routers that have reported recently. */
    public int routerCount() {
        return table.get().byRouter.size();
    }

    private record ReceivedLoad(RouterLoad load, long atMillis) {}

    private record Table(Map<String, ReceivedLoad> byRouter, Map<String, UpstreamLoad> totals) {
        Table with(RouterLoad reported, long nowMillis) {
            ReceivedLoad last = byRouter.get(reported.router());
            if (last != null && !reported.isNewerThan(last.load)) {
                return this;
            }
            Map<String, ReceivedLoad> changed = new HashMap<>(byRouter);
            changed.put(reported.router(), new ReceivedLoad(reported, nowMillis));
            return of(changed);
        }

        Table without(long nowMillis) {
            Map<String, ReceivedLoad> changed = new HashMap<>(byRouter);
            boolean removed = changed.values().removeIf(each -> nowMillis - each.atMillis > VALID_MILLIS);
            return removed ? of(changed) : this;
        }

        private static Table of(Map<String, ReceivedLoad> byRouter) {
            Map<String, UpstreamLoad> totals = new HashMap<>();
            for (ReceivedLoad each : byRouter.values()) {
                each.load.loadById().forEach((id, load) -> totals.merge(id, load, UpstreamLoad::plus));
            }
            return new Table(Map.copyOf(byRouter), Map.copyOf(totals));
        }
    }
}
