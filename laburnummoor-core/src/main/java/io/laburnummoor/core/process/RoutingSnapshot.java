package io.laburnummoor.core.process;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import io.laburnummoor.core.connection.UpstreamState;
import org.jspecify.annotations.Nullable;

/** Immutable snapshot of the upstreams known to a router, replaced as a whole when the VM list changes. */
public final class RoutingSnapshot {
    /** The snapshot without upstreams. */
    public static final RoutingSnapshot EMPTY = new RoutingSnapshot(List.of());

    private final Map<String, UpstreamState> byId;
    private final Map<String, List<UpstreamState>> byService;

    /** Creates a snapshot of the given upstreams. */
    public RoutingSnapshot(List<UpstreamState> upstreams) {
        Map<String, UpstreamState> ids = new LinkedHashMap<>();
        upstreams.forEach(each -> ids.put(each.upstream().id(), each));
        this.byId = Map.copyOf(ids);
        this.byService = ids.values().stream()
                .collect(Collectors.groupingBy(each -> each.upstream().service(), Collectors.toUnmodifiableList()));
    }

    /** Returns the upstreams of a service, empty if there are none. */
    public List<UpstreamState> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the upstream with this id, or null. */
    public @Nullable UpstreamState find(String id) {
        return byId.get(id);
    }

    /** Returns all upstreams. */
    public List<UpstreamState> all() {
        return List.copyOf(byId.values());
    }
}
