package io.laburnummoor.core.connection;

/**
 * Load that one router, or all other routers together, put on an upstream.
 *
 * @param inFlight number of requests in flight
 * @param prefillTokens tokens, including the maximum output, of requests in prefill, that is, without an event yet
 * @param kvCacheTokens KV-cache tokens of all requests and backups
 * @param longPrefillTokens the part of the prefill tokens that belongs to long prompts
 */
public record UpstreamLoad(int inFlight, long prefillTokens, long kvCacheTokens, long longPrefillTokens) {
    /** Load of an unused upstream. */
    public static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0);

    /** Creates a load without long prompts. */
    public UpstreamLoad(int inFlight, long prefillTokens, long kvCacheTokens) {
        this(inFlight, prefillTokens, kvCacheTokens, 0);
    }

    /** Returns the sum of two loads. */
    public UpstreamLoad plus(UpstreamLoad other) {
        return new UpstreamLoad(
                inFlight + other.inFlight,
                prefillTokens + other.prefillTokens,
                kvCacheTokens + other.kvCacheTokens,
                longPrefillTokens + other.longPrefillTokens);
    }

    /** Returns this load without a part of it. */
    public UpstreamLoad minus(UpstreamLoad part) {
        return new UpstreamLoad(
                inFlight - part.inFlight,
                prefillTokens - part.prefillTokens,
                kvCacheTokens - part.kvCacheTokens,
                longPrefillTokens - part.longPrefillTokens);
    }
}
