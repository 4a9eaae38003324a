package io.laburnummoor.core.process;

/**
 * What one upstream can still take, over all routers.
 *
 * @param freeSlots number of further requests that would start at once; {@link Integer#MAX_VALUE} if unknown
 * @param freeKvCacheTokens tokens that fit into the KV cache; {@link Long#MAX_VALUE} if unknown
 * @param prefillTokens tokens of requests without an event yet
 * @param ageMillis age of the oldest report that was used, of the upstream or of another router, or -1 if there is none
 */
public record UpstreamCapacity(int freeSlots, long freeKvCacheTokens, long prefillTokens, long ageMillis) {
    /** Returns whether a request that takes some tokens of the KV cache would start at once, as far as known. */
    public boolean fits(long tokens) {
        return freeSlots > 0 && freeKvCacheTokens >= tokens;
    }
}
