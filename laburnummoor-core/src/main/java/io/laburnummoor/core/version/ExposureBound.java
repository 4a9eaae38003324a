package io.laburnummoor.core.version;

/**
 * Bound on the requests that a bad version may get during an order.
 *
 * @param share part of all requests of the service
 * @param extraRequests requests that are allowed besides
 */
public record ExposureBound(double share, int extraRequests) {}
