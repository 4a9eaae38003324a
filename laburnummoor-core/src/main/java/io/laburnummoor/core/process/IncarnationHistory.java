package io.laburnummoor.core.process;

import java.util.LinkedHashMap;
import java.util.Map;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamInstance;
import org.jspecify.annotations.Nullable;

/**
 * States of incarnations that were dropped or replaced. An incarnation that is listed again continues with its state,
 * so that what it announced still holds, and a heartbeat of it that was written earlier can be recognized. Used by the
 * registry's thread only.
 */
final class IncarnationHistory {
    /** Limits the memory for upstreams that never return. */
    private static final int MAX_STATES = 1_024;

    /** Oldest first. */
    private final Map<Incarnation, InstanceState> states = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Incarnation, InstanceState> eldest) {
            return size() > MAX_STATES;
        }
    };

    void add(InstanceState state) {
        Incarnation incarnation = Incarnation.of(state.instance());
        states.remove(incarnation);
        states.put(incarnation, state);
    }

    /** Returns whether an entry is one of a known incarnation and was written no later than the latest one of it. */
    boolean hasSeen(UpstreamInstance entry) {
        InstanceState state = states.get(Incarnation.of(entry));
        return state != null && state.hasSeen(entry);
    }

    /** Removes and returns the state of the incarnation that an entry describes, or null if none is known. */
    @Nullable
    InstanceState take(UpstreamInstance entry) {
        return states.remove(Incarnation.of(entry));
    }

    private record Incarnation(String id, long startedAtMillis, String address) {
        static Incarnation of(UpstreamInstance instance) {
            return new Incarnation(instance.id(), instance.startedAtMillis(), instance.address());
        }
    }
}
