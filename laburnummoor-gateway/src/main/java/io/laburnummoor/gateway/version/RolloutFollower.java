package io.laburnummoor.gateway.version;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.process.ChangeFeed;
import io.laburnummoor.core.process.OrderedRollouts;
import io.laburnummoor.core.version.RolloutOrder;
import io.laburnummoor.core.version.RolloutStep;
import io.laburnummoor.gateway.process.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Applies orders, steps and results of rollouts as they appear in the store. Used only by the thread of the store
 * follower.
 */
public final class RolloutFollower {
    private final OrderedRollouts rollouts;
    private final Documents documents;
    private final DecisionLog log;
    private final Clock clock;

    public RolloutFollower(OrderedRollouts rollouts, Documents documents, DecisionLog log, Clock clock) {
        this.rollouts = rollouts;
        this.documents = documents;
        this.log = log;
        this.clock = clock;
    }

    /** Records that the store was restored from an older copy and may lack steps and results. */
    void onStoreRestored() {
        rollouts.forgetStored(clock.nowMillis());
    }

    /** Applies a change of any key; keys that do not belong to rollouts are ignored. */
    void apply(ChangeFeed.Change change) {
        String value = change.value();
        String orderedService = documents.serviceOfOrder(change.key());
        String stepService = documents.serviceOfStep(change.key());
        String statusService = documents.serviceOfStatus(change.key());
        if (orderedService != null) {
            applyOrder(change, orderedService);
        } else if (stepService != null && value != null) {
            rollouts.accept(stepService, documents.decodeStep(value));
        } else if (statusService != null && value != null) {
            rollouts.recordStatus(statusService, value);
        }
    }

    private void applyOrder(ChangeFeed.Change change, String service) {
        String value = change.value();
        RolloutOrder order = value == null ? null : documents.decodeOrder(value, change.version());
        if (value == null) {
            rollouts.withdraw(service);
            log.line("rollout_withdrawn").text("service", service).write();
        } else if (order == null) {
            log.line("rollout_order_ignored").text("key", change.key()).write();
        } else {
            rollouts.addOrder(order, clock.nowMillis());
            log.line("rollout_ordered")
                    .text("service", service)
                    .text("target", order.targetVersion())
                    .number("duration_ms", order.durationMillis())
                    .number("order", order.number())
                    .write();
        }
    }

    /** Decodes the keys and documents of rollouts. */
    public interface Documents {
        /** Returns the service of an operator's order, or null for any other key. */
        @Nullable
        String serviceOfOrder(String key);

        /** Returns the service of a step, or null for any other key. */
        @Nullable
        String serviceOfStep(String key);

        /** Returns the service of a result, or null for any other key. */
        @Nullable
        String serviceOfStatus(String key);

        /** Decodes an order, or returns null if it is malformed. */
        @Nullable
        RolloutOrder decodeOrder(String value, long number);

        /** Decodes a step. */
        RolloutStep decodeStep(String value);
    }
}
