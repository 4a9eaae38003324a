package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedPace;

/**
 * Immutable table of the upstream incarnations known to a gateway, replaced as a whole when the platform's list
 * changes.
 */
public final class InstanceTable {
    /** The table without upstreams. */
    public static final InstanceTable EMPTY = new InstanceTable(List.of());

    private final List<InstanceState> all;
    private final Map<String, List<InstanceState>> byService = new HashMap<>();
    private final Map<String, List<InstanceState>> byId = new HashMap<>();

    /** Creates a table of the given upstreams. */
    public InstanceTable(List<InstanceState> instances) {
        this.all = List.copyOf(instances);
        for (InstanceState each : all) {
            byService
                    .computeIfAbsent(each.instance().service(), service -> new ArrayList<>())
                    .add(each);
            byId.computeIfAbsent(each.instance().id(), id -> new ArrayList<>()).add(each);
        }
    }

    /** Returns the upstreams of a service, empty if there are none. */
    public List<InstanceState> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Records the paces of upstreams that another router knows. */
    public void recordPaces(List<ReportedPace> paces, long nowMillis) {
        for (ReportedPace each : paces) {
            withId(each.upstreamId()).forEach(state -> state.pace().recordPeer(each, nowMillis));
        }
    }

    /** Returns the incarnations with an id, usually one; empty if there are none. */
    public List<InstanceState> withId(String id) {
        return byId.getOrDefault(id, List.of());
    }

    /**
     * Returns the time until an upstream of a service accepts requests again, if all that are in service have asked for
     * a pause; 0 if one accepts requests now, or none is in service.
     */
    public long millisUntilAccepting(String service, long nowMillis) {
        return ofService(service).stream()
                .filter(each -> each.isInService(nowMillis))
                .mapToLong(each -> each.remainingHoldOffMillis(nowMillis))
                .min()
                .orElse(0);
    }

    /** Returns all upstreams. */
    public List<InstanceState> all() {
        return all;
    }

    /** Returns the number of upstreams. */
    public int size() {
        return all.size();
    }
}
