package io.laburnummoor.core.process;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.version.OrderedEvaluation;
import io.laburnummoor.core.version.RolloutOrder;
import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.core.version.RolloutStep;
import io.laburnummoor.core.version.VersionCounts;
import org.jspecify.annotations.Nullable;

/**
 * The ordered rollouts known to this router: which version a request may use, the counts of answers of both versions on
 * all routers, and the rollout halt that stops a bad version on this router without waiting for the store. Used by the
 * gateway's event loops, its store thread and its rollout thread.
 */
public final class OrderedRollouts {
    private final Snapshot<Map<String, ActiveRollout>> activeByService = new Snapshot<>(Map.of());

    /** Adds an order; it replaces an earlier one for the same service. */
    public void addOrder(RolloutOrder order, long nowMillis) {
        activeByService.update(before -> {
            ActiveRollout known = before.get(order.service());
            if (known != null && known.order.number() >= order.number()) {
                return before;
            }
            return withRollout(before, order.service(), new ActiveRollout(order, nowMillis));
        });
    }

    /** Removes the order of a service. */
    public void withdraw(String service) {
        activeByService.update(before -> withRollout(before, service, null));
    }

    private static Map<String, ActiveRollout> withRollout(
            Map<String, ActiveRollout> before, String service, @Nullable ActiveRollout active) {
        Map<String, ActiveRollout> changed = new HashMap<>(before);
        changed.remove(service);
        if (active != null) {
            changed.put(service, active);
        }
        return Map.copyOf(changed);
    }

    /** Accepts a stored step; steps of other orders are ignored. */
    public void accept(String service, RolloutStep step) {
        ActiveRollout active = activeByService.get().get(service);
        if (active != null && active.order.number() == step.orderNumber()) {
            active.step.replace(step);
        }
    }

    /** Records the stored status of a service's rollout that the operator reads. */
    public void recordStatus(String service, String status) {
        ActiveRollout active = activeByService.get().get(service);
        if (active != null) {
            active.status.replace(status);
        }
    }

    /** Returns the rollouts by service. */
    public Map<String, ActiveRollout> activeRollouts() {
        return activeByService.get();
    }

    /**
     * Returns whether a request may use an upstream.
     *
     * @param draw number from 0 to 1 that stays the same for all attempts of a request
     */
    public boolean allows(UpstreamInstance instance, double draw) {
        ActiveRollout active = activeByService.get().get(instance.service());
        if (active == null) {
            return true;
        }
        boolean isTarget = instance.version().equals(active.order.targetVersion());
        return isTarget == (draw * 1_000 < active.sharePerMille());
    }

    /** Counts an upstream's answer as succeeded or failed. */
    public void recordAnswer(UpstreamInstance instance, String route, boolean failed) {
        ActiveRollout active = activeByService.get().get(instance.service());
        if (active != null) {
            boolean isTarget = instance.version().equals(active.order.targetVersion());
            active.ownCountsByRoute.merge(route, VersionCounts.NONE.plusAnswer(isTarget, failed), VersionCounts::plus);
        }
    }

    /** Records the counts that another router reported for an order. */
    public void recordReportedCounts(String router, long orderNumber, Map<String, VersionCounts> counts) {
        for (ActiveRollout each : activeByService.get().values()) {
            if (each.order.number() == orderNumber) {
                each.reportedCountsByRouter.put(router, counts);
            }
        }
    }

    /** One ordered rollout. */
    public static final class ActiveRollout {
        private final RolloutOrder order;
        private final long orderedAtMillis;
        private final Snapshot<RolloutStep> step;
        private final Snapshot<String> status = new Snapshot<>("");
        private final Map<String, VersionCounts> ownCountsByRoute = new ConcurrentHashMap<>();
        private final Map<String, Map<String, VersionCounts>> reportedCountsByRouter = new ConcurrentHashMap<>();
        private final OrderedEvaluation evaluation = new OrderedEvaluation();
        private volatile boolean halted;

        private ActiveRollout(RolloutOrder order, long orderedAtMillis) {
            this.order = order;
            this.orderedAtMillis = orderedAtMillis;
            this.step = new Snapshot<>(RolloutStep.first(order));
        }

        /** Returns the operator's order. */
        public RolloutOrder order() {
            return order;
        }

        /** Returns the last known step. */
        public RolloutStep step() {
            return step.get();
        }

        /** Returns the last known stored status, empty if none is known. */
        public String status() {
            return status.get();
        }

        /** Returns the fraction of the order's duration that has elapsed on this router. */
        public double elapsedFraction(long nowMillis) {
            return (double) (nowMillis - orderedAtMillis) / Math.max(1, order.durationMillis());
        }

        /** Returns this router's counts by route. */
        public Map<String, VersionCounts> ownCounts() {
            return Map.copyOf(ownCountsByRoute);
        }

        /** Evaluates the counts of all routers; called by one thread. */
        public void evaluate() {
            Map<String, VersionCounts> totals = new HashMap<>(ownCountsByRoute);
            reportedCountsByRouter
                    .values()
                    .forEach(counts -> counts.forEach((route, each) -> totals.merge(route, each, VersionCounts::plus)));
            evaluation.update(totals);
            halted |= evaluation.isBad();
        }

        /** Returns whether the new version has been found bad. */
        public boolean isBad() {
            return halted;
        }

        /** Returns whether the evidence is too unfavourable to raise the traffic share. */
        public boolean isSuspicious() {
            return evaluation.isSuspicious();
        }

        /** Returns the number of counted answers of the new version on all routers. */
        public long trials() {
            return evaluation.newTrials();
        }

        /** Returns the number of counted answers of both versions on all routers. */
        public long allTrials() {
            return evaluation.allTrials();
        }

        private int sharePerMille() {
            RolloutStep current = step.get();
            return halted && current.phase() == RolloutState.Phase.RUNNING ? 0 : current.sharePerMille();
        }
    }
}
