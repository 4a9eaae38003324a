package io.laburnummoor.core.version;

/**
 * What the configuration says of one service.
 *
 * @param name name of the service
 * @param connectionLimit connections that one upstream accepts from all routers
 * @param isEngine whether its upstreams are model engines
 * @param slots requests that one model engine runs at once; 0 if unknown
 * @param kvCacheTokens tokens that a model engine's memory holds; 0 if unknown
 * @param backsUpKvCache whether its upstreams copy a run's memory to another upstream
 */
public record ForwardService(
        String name, int connectionLimit, boolean isEngine, int slots, long kvCacheTokens, boolean backsUpKvCache) {}
