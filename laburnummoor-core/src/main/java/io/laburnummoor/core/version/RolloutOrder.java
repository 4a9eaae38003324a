package io.laburnummoor.core.version;

/**
 * An operator's order to move a service to another version within seconds.
 *
 * @param service service whose version changes
 * @param targetVersion version that serves after the rollout
 * @param durationMillis time from the order to its deadline
 * @param number store version of the order's key; a later order has a higher number
 */
public record RolloutOrder(String service, String targetVersion, long durationMillis, long number) {}
