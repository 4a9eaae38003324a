package io.laburnummoor.core.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.Snapshot;

/**
 * Observers of the declared rollouts. Attempts read them without a lock on any thread; the rollout follower replaces
 * them on its own thread.
 */
public final class RolloutObservers implements AttemptRecorder {
    private final Snapshot<Map<String, RolloutObserver>> current = new Snapshot<>(Map.of());

    /** Creates observers of new or changed rollouts, removes those of undeclared rollouts, and returns all. */
    public List<RolloutObserver> replace(List<RolloutDeclaration> declared, int routerCount) {
        Map<String, RolloutObserver> known = current.get();
        Map<String, RolloutObserver> next = new HashMap<>();
        for (RolloutDeclaration each : declared) {
            RolloutObserver before = known.get(each.name());
            boolean keep = before != null && before.declaration().equals(each);
            next.put(each.name(), keep ? before : RolloutObserver.create(each, routerCount));
        }
        current.replace(Map.copyOf(next));
        return List.copyOf(next.values());
    }

    @Override
    public void record(String service, String version, Stratum stratum, AttemptOutcome outcome) {
        for (RolloutObserver each : current.get().values()) {
            each.record(service, version, stratum, outcome);
        }
    }
}
