package io.laburnummoor.core.version;

/**
 * An operator's order to move a service to another version within seconds.
 *
 * @param service service whose version changes
 * @param targetVersion version that serves after the rollout
 * @param durationMillis time from the order to its deadline
 * @param number store version of the order's key when it was first written; a later order has a higher number
 */
public record RolloutOrder(String service, String targetVersion, long durationMillis, long number) {
    /** Returns whether another order asks for the same; its number may differ. */
    public boolean asksForSameAs(RolloutOrder other) {
        return withNumber(other.number).equals(other);
    }

    /** Returns this order with another number. */
    public RolloutOrder withNumber(long other) {
        return new RolloutOrder(service, targetVersion, durationMillis, other);
    }
}
