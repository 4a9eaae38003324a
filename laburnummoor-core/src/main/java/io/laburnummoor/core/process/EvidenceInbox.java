package io.laburnummoor.core.process;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.laburnummoor.core.version.Comparison;
import io.laburnummoor.core.version.Stratum;
import org.jspecify.annotations.Nullable;

/**
 * Buffers the evidence reported by all routers until the rollout controller on this router evaluates it. Threads that
 * serve peers add evidence concurrently.
 */
public final class EvidenceInbox {
    private final ConcurrentMap<String, Map<Stratum, Comparison>> pending = new ConcurrentHashMap<>();

    /** Adds one router's evidence of one period. */
    public void add(String rollout, Map<Stratum, Comparison> period) {
        pending.merge(rollout, period, EvidenceInbox::sum);
    }

    /** Removes and returns the evidence of a rollout that was received since the last call. */
    public Map<Stratum, Comparison> drain(String rollout) {
        @Nullable Map<Stratum, Comparison> drained = pending.remove(rollout);
        return drained == null ? Map.of() : drained;
    }

    private static Map<Stratum, Comparison> sum(Map<Stratum, Comparison> first, Map<Stratum, Comparison> second) {
        Map<Stratum, Comparison> total = new ConcurrentHashMap<>(first);
        second.forEach((stratum, comparison) -> total.merge(stratum, comparison, Comparison::plus));
        return Map.copyOf(total);
    }
}
