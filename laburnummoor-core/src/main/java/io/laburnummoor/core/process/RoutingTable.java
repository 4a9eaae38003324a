package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.connection.Upstream;
import io.laburnummoor.core.connection.UpstreamState;

/** Holds the current {@link RoutingSnapshot}; readers take no lock, writers replace the snapshot by a copy. */
public final class RoutingTable {
    private final Snapshot<RoutingSnapshot> current = new Snapshot<>(RoutingSnapshot.EMPTY);

    public RoutingSnapshot snapshot() {
        return current.get();
    }

    /** Replaces the upstreams by those of a new VM list; keeps the state of upstreams that did not change. */
    public void replace(List<Upstream> upstreams) {
        current.update(before -> {
            List<UpstreamState> states = new ArrayList<>(upstreams.size());
            for (Upstream upstream : upstreams) {
                UpstreamState known = before.find(upstream.id());
                states.add(known != null && known.upstream().equals(upstream) ? known : new UpstreamState(upstream));
            }
            return new RoutingSnapshot(states);
        });
    }
}
