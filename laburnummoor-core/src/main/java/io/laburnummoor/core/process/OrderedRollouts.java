package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.StoreVersion;
import io.laburnummoor.core.connection.InstanceState;
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
    /** Orders of a service before its latest one that may be in a copy of the store. */
    private static final int MAX_REPLACED_ORDERS = 4;

    private static final long NEVER = Long.MAX_VALUE;
    /** Limits what keys of arbitrary names take. */
    private static final int MAX_WITHDRAWN_SERVICES = 2_000;

    private final Snapshot<Map<String, ActiveRollout>> activeByService = new Snapshot<>(Map.of());
    /** Services whose order was withdrawn; a later order is not a continuation of it. */
    private final Set<String> withdrawnServices = ConcurrentHashMap.newKeySet();

    /**
     * Adds an order; it replaces an earlier one for the same service. If that one has moved the service to the same
     * version, there is nothing to move: the order counts as completed, so that no request goes to engines that ended
     * with the completion and are still listed.
     *
     * <p>An operator writes its order again after the store was restored from an older copy. It is the same order if it
     * asks for the same and was not withdrawn meanwhile. The copy may also hold an order that the known one replaced,
     * which is ignored.
     */
    public void addOrder(RolloutOrder order, long nowMillis) {
        activeByService.update(before -> {
            ActiveRollout known = before.get(order.service());
            if (known != null && (known.latestNumber >= order.number() || known.isRestoredBy(order))) {
                return before;
            }
            return withRollout(before, order.service(), newRollout(order, known, nowMillis));
        });
        ActiveRollout active = activeByService.get().get(order.service());
        if (active != null && active.order.asksForSameAs(order)) {
            active.latestNumber = Math.max(active.latestNumber, order.number());
        }
    }

    private ActiveRollout newRollout(RolloutOrder order, @Nullable ActiveRollout known, long nowMillis) {
        boolean isFirst = known == null && !withdrawnServices.contains(order.service());
        RolloutStep first = RolloutStep.first(order, known == null ? null : known.step());
        return new ActiveRollout(
                order, first, nowMillis, isFirst, known == null ? List.of() : known.withReplacedOrders());
    }

    /** Removes the order of a service. */
    public void withdraw(String service) {
        if (withdrawnServices.size() < MAX_WITHDRAWN_SERVICES) {
            withdrawnServices.add(service);
        }
        activeByService.update(before -> withRollout(before, service, null));
    }

    /** Records that the store was restored from an older copy, so that it may lack steps and results that are known. */
    public void forgetStored(long nowMillis) {
        activeByService.get().values().forEach(each -> each.forgetStored(nowMillis));
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

    /**
     * Accepts a stored step; steps of other orders, and those before the known step, are ignored. The latter are found
     * in a store that was restored from an older copy.
     */
    public void accept(String service, RolloutStep step) {
        ActiveRollout active = activeByService.get().get(service);
        if (active != null && active.isStepOfOrder(step)) {
            active.accept(step);
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
        return active.isTarget(instance) == (draw * 1_000 < active.sharePerMille());
    }

    /**
     * Returns whether the traffic share of a service's rollout does not apply, because no upstream of another version
     * has been in service since the order: a share divides the requests between two versions. While the old
     * version's upstreams are lost, the share holds, as the new version may be bad.
     *
     * @param upstreams upstreams of the service
     */
    boolean ignoresShare(String service, List<InstanceState> upstreams, long nowMillis) {
        ActiveRollout active = activeByService.get().get(service);
        return active != null
                && active.mayServeAlone()
                && upstreams.stream()
                        .noneMatch(each -> each.isInService(nowMillis) && !active.isTarget(each.instance()));
    }

    /** Records which versions are in service, for {@link ActiveRollout#isOnlyVersion}; called by one thread. */
    public void recordServing(InstanceTable table, long nowMillis) {
        activeByService.get().forEach((service, active) -> active.recordServing(table.ofService(service), nowMillis));
    }

    /** Counts an upstream's answer as succeeded or failed. */
    public void recordAnswer(UpstreamInstance instance, String route, boolean failed) {
        ActiveRollout active = activeByService.get().get(instance.service());
        if (active != null) {
            boolean isTarget = active.isTarget(instance);
            active.ownCountsByRoute.merge(route, VersionCounts.NONE.plusAnswer(isTarget, failed), VersionCounts::plus);
        }
    }

    /** Records the counts that another router reported for an order. */
    public void recordReportedCounts(String router, long orderNumber, Map<String, VersionCounts> counts) {
        for (ActiveRollout each : activeByService.get().values()) {
            if (each.isNumberOfOrder(orderNumber)) {
                each.reportedCountsByRouter.put(router, counts);
            }
        }
    }

    /** One ordered rollout. */
    public static final class ActiveRollout {
        private final long orderedAtMillis;
        private final boolean isFirst;
        private final List<RolloutOrder> replacedOrders;
        private volatile RolloutOrder order;
        /** Number under which the order was written last; higher than the order's after a restore of the store. */
        private volatile long latestNumber;
        /** Latest step that was read from the store since its last restore. */
        private volatile @Nullable RolloutStep storedStep;

        /** Time of the latest restore of the store that this router has seen since the order. */
        private volatile long restoredAtMillis = NEVER;

        private final Snapshot<RolloutStep> step;
        private final Snapshot<String> status = new Snapshot<>("");
        private final Map<String, VersionCounts> ownCountsByRoute = new ConcurrentHashMap<>();
        private final Map<String, Map<String, VersionCounts>> reportedCountsByRouter = new ConcurrentHashMap<>();
        private final OrderedEvaluation evaluation = new OrderedEvaluation();
        private volatile boolean halted;
        private volatile boolean targetSeen;
        private volatile boolean otherVersionSeen;

        /**
         * Creates a rollout.
         *
         * @param isFirst whether this router knew no other order of the service
         * @param replacedOrders orders of the service before this one
         */
        private ActiveRollout(
                RolloutOrder order,
                RolloutStep first,
                long orderedAtMillis,
                boolean isFirst,
                List<RolloutOrder> replacedOrders) {
            this.order = order;
            this.latestNumber = order.number();
            this.orderedAtMillis = orderedAtMillis;
            this.isFirst = isFirst;
            this.replacedOrders = replacedOrders;
            this.step = new Snapshot<>(first);
        }

        /** Returns whether an order was found in a restored store and is this one, or one that this one replaced. */
        private boolean isRestoredBy(RolloutOrder found) {
            boolean laterEra = StoreVersion.eraOf(found.number()) > StoreVersion.eraOf(order.number());
            return laterEra
                    && (order.asksForSameAs(found)
                            || replacedOrders.stream().anyMatch(each -> isSameEntry(each, found)));
        }

        private static boolean isSameEntry(RolloutOrder replaced, RolloutOrder found) {
            return replaced.asksForSameAs(found)
                    && StoreVersion.revisionOf(replaced.number()) == StoreVersion.revisionOf(found.number());
        }

        private List<RolloutOrder> withReplacedOrders() {
            List<RolloutOrder> all = new ArrayList<>(replacedOrders);
            all.add(order.withNumber(latestNumber));
            return List.copyOf(all.subList(Math.max(0, all.size() - MAX_REPLACED_ORDERS), all.size()));
        }

        private boolean isNumberOfOrder(long number) {
            return number >= order.number() && number <= latestNumber;
        }

        /**
         * Returns whether a stored step belongs to the order. A router that started after a restore of the store knows
         * the order only under its later number, and finds the step under the number of a former era.
         */
        boolean isStepOfOrder(RolloutStep stored) {
            boolean ofFormerEra =
                    StoreVersion.eraOf(stored.orderNumber()) < StoreVersion.eraOf(order.number()) && isFirst;
            return stored.targetVersion().equals(order.targetVersion())
                    && (ofFormerEra || isNumberOfOrder(stored.orderNumber()));
        }

        private void accept(RolloutStep stored) {
            storedStep = stored;
            if (stored.orderNumber() < order.number()) {
                order = order.withNumber(stored.orderNumber());
            }
            step.update(this::furthestOf);
        }

        private RolloutStep furthestOf(RolloutStep known) {
            RolloutStep stored = storedStep;
            RolloutStep further = stored != null && known.isBefore(stored) ? stored : known;
            return further.withOrderNumber(order.number());
        }

        private void forgetStored(long nowMillis) {
            restoredAtMillis = nowMillis;
            storedStep = null;
            status.replace("");
        }

        /** Returns whether the store has held no step or an earlier one than the known for a time since its restore. */
        boolean isStoreBehind(long nowMillis, long millis) {
            RolloutStep stored = storedStep;
            RolloutStep atLeast = stored == null ? RolloutStep.first(order) : stored;
            return nowMillis - restoredAtMillis > millis && atLeast.isBefore(step());
        }

        /** Returns the number under which the order was written last. */
        long latestNumber() {
            return latestNumber;
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

        private void recordServing(List<InstanceState> upstreams, long nowMillis) {
            for (InstanceState each : upstreams) {
                if (each.isInService(nowMillis)) {
                    targetSeen |= isTarget(each.instance());
                    otherVersionSeen |= !isTarget(each.instance());
                }
            }
        }

        /**
         * Returns whether the service had upstreams of the target version and never one of another version since the
         * order, as when an operator orders the version that already serves.
         */
        public boolean isOnlyVersion() {
            return targetSeen && !otherVersionSeen;
        }

        private boolean mayServeAlone() {
            boolean inDoubt = halted || step().phase() != RolloutState.Phase.RUNNING;
            return inDoubt ? isOnlyVersion() : !otherVersionSeen;
        }

        private boolean isTarget(UpstreamInstance instance) {
            return instance.version().equals(order.targetVersion());
        }

        /** Returns whether the new version has been found bad, and there is another one to go back to. */
        public boolean isBad() {
            return halted && !isOnlyVersion();
        }

        /**
         * Returns whether the evidence is too unfavourable to raise the traffic share, and there is another version to
         * go back to.
         */
        public boolean isSuspicious() {
            return evaluation.isSuspicious() && !isOnlyVersion();
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
