package io.laburnummoor.core.version;

/**
 * Upper bound on the requests that a bad version may receive during a rollout that an operator ordered.
 *
 * @param share fraction of all requests of the service
 * @param extraRequests number of requests allowed in addition
 */
public record ExposureBound(double share, int extraRequests) {}
