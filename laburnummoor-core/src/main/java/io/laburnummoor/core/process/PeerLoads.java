package io.laburnummoor.core.process;

import java.util.HashMap;
import java.util.Map;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.connection.UpstreamLoad;

/**
 * What all other routers use of each upstream. Messages replace an immutable table as a whole, so that the choice of an
 * upstream reads it without a lock.
 */
public final class PeerLoads {
    /** A router that has told nothing for this long is taken as gone. */
    public static final long VALID_MILLIS = 2_500;

    private final Snapshot<Table> table = new Snapshot<>(new Table(Map.of(), Map.of()));

    /** Records what a router told. */
    public void record(RouterLoad reported, long nowMillis) {
        table.update(before -> before.with(reported, nowMillis));
    }

    /** Forgets routers that have told nothing for a while. */
    public void expire(long nowMillis) {
        table.update(before -> before.without(nowMillis));
    }

    /** Returns what all other routers together use of an upstream. */
    public UpstreamLoad of(String upstreamId) {
        return table.get().totals.getOrDefault(upstreamId, UpstreamLoad.NONE);
    }

    /** Returns the number of routers that have told something lately. */
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
