package io.laburnummoor.core.version;

/**
 * The stored position of an ordered rollout; immutable.
 *
 * @param orderNumber number of the order that it belongs to
 * @param targetVersion version that is to serve afterwards
 * @param phase whether it runs, and otherwise its outcome
 * @param sharePerMille share of new requests that go to the target version, in thousandths
 */
public record RolloutStep(long orderNumber, String targetVersion, RolloutState.Phase phase, int sharePerMille) {
    /** Returns the position of an order that has just been seen. */
    public static RolloutStep first(RolloutOrder order) {
        return new RolloutStep(order.number(), order.targetVersion(), RolloutState.Phase.RUNNING, 0);
    }

    /** Returns this rollout at another share. */
    public RolloutStep withShare(int perMille) {
        return new RolloutStep(orderNumber, targetVersion, phase, perMille);
    }

    /** Returns this rollout with an outcome. */
    public RolloutStep ended(RolloutState.Phase outcome) {
        return new RolloutStep(
                orderNumber, targetVersion, outcome, outcome == RolloutState.Phase.ROLLED_BACK ? 0 : 1_000);
    }

    /** Returns whether the rollout has its outcome. */
    public boolean isFinal() {
        return phase != RolloutState.Phase.RUNNING;
    }
}
