package io.laburnummoor.core.connection;

/**
 * Load that one router, or all other routers together, put on an upstream.
 *
 * @param inFlight number of requests in flight
 * @param prefillTokens tokens, including the maximum output, of requests in prefill, that is, without an event yet
 * @param kvCacheTokens KV-cache tokens of all requests and backups
 */
public record UpstreamLoad(int inFlight, long prefillTokens, long kvCacheTokens) {
    /** Load of an unused upstream. */
    public static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0);

    /** Returns the sum of two loads. */
    public UpstreamLoad plus(UpstreamLoad other) {
        return new UpstreamLoad(
                inFlight + other.inFlight, prefillTokens + other.prefillTokens, kvCacheTokens + other.kvCacheTokens);
    }
}
