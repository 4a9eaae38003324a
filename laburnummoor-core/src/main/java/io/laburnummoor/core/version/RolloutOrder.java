package io.laburnummoor.core.version;

/**
 * An operator's order to move a service to another version within seconds.
 *
 * @param service service whose version changes
 * @param targetVersion version that is to serve afterwards
 * @param durationMillis time from the order to its deadline
 * @param number version of the order's key in the store; a later order has a higher one
 */
public record RolloutOrder(String service, String targetVersion, long durationMillis, long number) {}
