package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.connection.InstanceState;
import org.jspecify.annotations.Nullable;

/** The known upstream lives at one moment; immutable, replaced as a whole when the platform's list changes. */
public final class InstanceTable {
    /** The table without any upstream. */
    public static final InstanceTable EMPTY = new InstanceTable(List.of());

    private final Map<String, InstanceState> byId = new HashMap<>();
    private final Map<String, List<InstanceState>> byService = new HashMap<>();

    /** Creates a table of the given upstreams. */
    public InstanceTable(List<InstanceState> instances) {
        for (InstanceState each : instances) {
            byId.put(each.instance().id(), each);
            byService
                    .computeIfAbsent(each.instance().service(), service -> new ArrayList<>())
                    .add(each);
        }
    }

    /** Returns the upstreams of a service, empty if there are none. */
    public List<InstanceState> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the upstream with this id, or null. */
    public @Nullable InstanceState find(String id) {
        return byId.get(id);
    }

    /** Returns all upstreams. */
    public List<InstanceState> all() {
        return List.copyOf(byId.values());
    }

    /** Returns the number of upstreams. */
    public int size() {
        return byId.size();
    }
}
