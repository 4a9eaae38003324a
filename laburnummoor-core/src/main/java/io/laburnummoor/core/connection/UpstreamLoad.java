package io.laburnummoor.core.connection;

/**
 * What one router, or all other routers together, use of an upstream.
 *
 * @param inFlight requests
 * @param prefillTokens prompt tokens of requests without an event yet
 * @param kvCacheTokens tokens of all requests and copies
 */
public record UpstreamLoad(int inFlight, long prefillTokens, long kvCacheTokens) {
    /** Stands for an unused upstream. */
    public static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0);

    /** Returns the sum of two loads. */
    public UpstreamLoad plus(UpstreamLoad other) {
        return new UpstreamLoad(
                inFlight + other.inFlight, prefillTokens + other.prefillTokens, kvCacheTokens + other.kvCacheTokens);
    }
}
