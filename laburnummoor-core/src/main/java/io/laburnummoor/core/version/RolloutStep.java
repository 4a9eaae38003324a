package io.laburnummoor.core.version;

import org.jspecify.annotations.Nullable;

/**
 * Stored state of a rollout that an operator ordered; immutable. The state of a declared rollout is a
 * {@link RolloutState}.
 *
 * @param orderNumber number of the order
 * @param targetVersion version that serves after the rollout
 * @param phase whether it is running, otherwise its outcome
 * @param sharePerMille traffic share of the target version, in thousandths of the new requests
 */
public record RolloutStep(long orderNumber, String targetVersion, RolloutState.Phase phase, int sharePerMille) {
    /** Above each traffic share. */
    private static final int FINAL_PROGRESS = 1_001;

    /** Returns the initial state for an order. */
    public static RolloutStep first(RolloutOrder order) {
        return new RolloutStep(order.number(), order.targetVersion(), RolloutState.Phase.RUNNING, 0);
    }

    /**
     * Returns the initial state for an order that follows a stored step of an earlier order: an order for the version
     * that the earlier one has moved the service to is completed.
     */
    public static RolloutStep first(RolloutOrder order, @Nullable RolloutStep earlier) {
        boolean alreadyMoved = earlier != null
                && earlier.phase == RolloutState.Phase.COMPLETED
                && earlier.targetVersion.equals(order.targetVersion());
        return alreadyMoved ? first(order).ended(RolloutState.Phase.COMPLETED) : first(order);
    }

    /** Returns this state with another traffic share. */
    public RolloutStep withShare(int perMille) {
        return new RolloutStep(orderNumber, targetVersion, phase, perMille);
    }

    /** Returns this state with an outcome. */
    public RolloutStep ended(RolloutState.Phase outcome) {
        return new RolloutStep(
                orderNumber, targetVersion, outcome, outcome == RolloutState.Phase.ROLLED_BACK ? 0 : 1_000);
    }

    /** Returns this state under another number of its order. */
    public RolloutStep withOrderNumber(long number) {
        return new RolloutStep(number, targetVersion, phase, sharePerMille);
    }

    /**
     * Returns whether this state comes before another one of the same order. A rollback counts as the last one, so that
     * a version that was found bad stays withdrawn.
     */
    public boolean isBefore(RolloutStep other) {
        return progress() < other.progress();
    }

    private int progress() {
        return switch (phase) {
            case RUNNING -> sharePerMille;
            case COMPLETED, LATE -> FINAL_PROGRESS;
            case ROLLED_BACK -> FINAL_PROGRESS + 1;
        };
    }

    /** Returns whether the rollout has its outcome. */
    public boolean isFinal() {
        return phase != RolloutState.Phase.RUNNING;
    }
}
