package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.process.OrderedRollouts.ActiveRollout;
import io.laburnummoor.core.version.OrderedPlan;
import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.core.version.RolloutStep;

/**
 * Advances a gateway's ordered rollouts while this router holds the lease; {@link #tick} is called periodically by one
 * thread. Each step is one compare-and-swap against the step that the decision was based on, so that a router that was
 * paused cannot revert a later step. The status that the operator reads is written after
 * the step; if this router dies in between, the next holder writes it. After a restore of the store from an older copy
 * the holder writes the known step again; if it does not know it, because it started later, another router does.
 */
public final class OrderedRolloutController {
    /** Time in which the holder of the lease writes a step again that the store has lost. */
    static final long HOLDER_RESTORE_MILLIS = 3_000;

    private final KeyValueStore store;
    private final OrderedRollouts rollouts;
    private final StepDocuments documents;
    private final OrderedPlan plan;
    private final ControllerLease lease;
    private final Listener listener;

    /** Creates the controller of a router. */
    public OrderedRolloutController(
            KeyValueStore store,
            OrderedRollouts rollouts,
            StepDocuments documents,
            OrderedPlan plan,
            String routerName,
            Listener listener) {
        this.plan = plan;
        this.store = store;
        this.rollouts = rollouts;
        this.documents = documents;
        this.lease = new ControllerLease(store, routerName);
        this.listener = listener;
    }

    /**
     * Evaluates all rollouts and takes the steps that are due. Makes no store call unless a rollout is running or its
     * status is not stored yet.
     *
     * @throws io.laburnummoor.core.LaburnummoorException with code {@code store_unavailable}
     */
    public void tick(long nowMillis) {
        List<ActiveRollout> open = new ArrayList<>();
        for (ActiveRollout each : rollouts.activeRollouts().values()) {
            each.evaluate();
            if (!each.step().isFinal() || !documents.encodeStatus(each.step()).equals(each.status())) {
                open.add(each);
            }
        }
        if (open.isEmpty()) {
            return;
        }
        if (lease.renewOrAcquire()) {
            open.forEach(each -> advance(each, nowMillis));
        } else {
            open.stream()
                    .filter(each -> each.isStoreBehind(nowMillis, HOLDER_RESTORE_MILLIS))
                    .forEach(this::writeStepAgain);
        }
    }

    /** Writes the known step of a rollout whose order the store holds without a step, or with an earlier one. */
    private void writeStepAgain(ActiveRollout active) {
        String key = documents.stepKey(active.order().service());
        VersionedValue stored = store.get(key);
        RolloutStep found = stored == null ? null : documents.decodeStep(stored.value());
        if (found == null || (active.isStepOfOrder(found) && found.isBefore(active.step()))) {
            long expected = stored == null ? KeyValueStore.ABSENT : stored.version();
            store.compareAndSwap(key, expected, documents.encodeStep(active.step()));
        }
    }

    private void advance(ActiveRollout active, long nowMillis) {
        String service = active.order().service();
        String key = documents.stepKey(service);
        VersionedValue stored = store.get(key);
        RolloutStep known = stored == null ? null : documents.decodeStep(stored.value());
        if (known != null && known.orderNumber() > active.latestNumber()) {
            // This router has not read the latest order yet; another one already acts on it.
            return;
        }
        if (known != null) {
            rollouts.accept(service, known);
        }
        RolloutStep first = RolloutStep.first(active.order(), known);
        // The known step is behind only if this is the first order of the service that this router knows of.
        RolloutStep current = active.step().isBefore(first) ? first : active.step();
        RolloutStep next = decide(active, current, nowMillis);
        if (!next.equals(known)) {
            long expected = stored == null ? KeyValueStore.ABSENT : stored.version();
            if (store.compareAndSwap(key, expected, documents.encodeStep(next)) == KeyValueStore.ABSENT) {
                return;
            }
            listener.onStepStored(service, next, active.trials());
        }
        rollouts.accept(service, next);
        if (!documents.encodeStatus(next).equals(active.status())) {
            publishStatus(service, next);
        }
    }

    private RolloutStep decide(ActiveRollout active, RolloutStep current, long nowMillis) {
        if (current.isFinal()) {
            return current;
        }
        if (active.isBad()) {
            return current.ended(RolloutState.Phase.ROLLED_BACK);
        }
        double elapsed = active.elapsedFraction(nowMillis);
        if (active.isSuspicious()) {
            // At the deadline a suspicious version is rolled back: keeping it costs more than ordering it again.
            return OrderedPlan.isDecisionDue(elapsed) ? current.ended(RolloutState.Phase.ROLLED_BACK) : current;
        }
        if (plan.isComplete(elapsed, current.sharePerMille()) || isOnlyVersionAtEnd(active, elapsed)) {
            return current.ended(RolloutState.Phase.COMPLETED);
        }
        return current.withShare(
                Math.max(current.sharePerMille(), plan.sharePerMille(elapsed, active.trials(), active.allTrials())));
    }

    /**
     * Returns whether no other version served until the time of the completion. Not decided earlier, since the
     * completion ends the engines of other versions, and their entries may be missing for some seconds.
     */
    private static boolean isOnlyVersionAtEnd(ActiveRollout active, double elapsedFraction) {
        return active.isOnlyVersion() && OrderedPlan.isCompletionDue(elapsedFraction);
    }

    private void publishStatus(String service, RolloutStep step) {
        String key = documents.statusKey(service);
        String status = documents.encodeStatus(step);
        VersionedValue stored = store.get(key);
        if (stored == null || !stored.value().equals(status)) {
            if (!isStoredStep(service, step)) {
                return;
            }
            store.compareAndSwap(key, stored == null ? KeyValueStore.ABSENT : stored.version(), status);
        }
        rollouts.recordStatus(service, status);
    }

    /**
     * Returns whether a step is still the stored one. Read after the version of the status: a router that was suspended
     * since it stored its step must not put an older status in the place of its successor's.
     */
    private boolean isStoredStep(String service, RolloutStep step) {
        VersionedValue stored = store.get(documents.stepKey(service));
        return stored != null && documents.decodeStep(stored.value()).equals(step);
    }

    /** Keys and encoding of the controller's stored data. */
    public interface StepDocuments {
        /** Returns the key of the current step of a service's rollout. */
        String stepKey(String service);

        /** Returns the key of the status that the operator reads. */
        String statusKey(String service);

        /** Encodes a step. */
        String encodeStep(RolloutStep step);

        /** Decodes a step. */
        RolloutStep decodeStep(String text);

        /** Encodes the status that the operator reads. */
        String encodeStatus(RolloutStep step);
    }

    /** Receives the steps that were stored. */
    public interface Listener {
        /** Called after a step has been stored. */
        void onStepStored(String service, RolloutStep step, long trials);
    }
}
