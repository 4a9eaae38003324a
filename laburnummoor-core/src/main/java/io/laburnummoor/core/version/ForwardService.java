package io.laburnummoor.core.version;

/**
 * Declaration of one service for forwarded requests.
 *
 * @param name name of the service
 * @param connectionLimit maximum number of connections that one upstream accepts from all routers
 * @param isEngine whether its upstreams are model engines
 * @param slots maximum number of requests that one model engine runs concurrently; 0 if unknown
 * @param kvCacheTokens capacity of a model engine's KV cache in tokens; 0 if unknown
 * @param backsUpKvCache whether its upstreams back up the KV cache of a request to another upstream
 */
public record ForwardService(
        String name, int connectionLimit, boolean isEngine, int slots, long kvCacheTokens, boolean backsUpKvCache) {}
