package io.laburnummoor.core.version;

/** Load of an upstream at the start of an attempt; versions are compared only at the same level. */
public enum LoadLevel {
    /** Fewer than 4 requests. */
    LOW,
    /** From 4 to 15 requests. */
    MEDIUM,
    /** 16 requests or more. */
    HIGH;

    private static final int MEDIUM_REQUESTS = 4;
    private static final int HIGH_REQUESTS = 16;

    /** Returns the level of an upstream with this number of running and waiting requests. */
    public static LoadLevel of(int requestCount) {
        if (requestCount >= HIGH_REQUESTS) {
            return HIGH;
        }
        return requestCount >= MEDIUM_REQUESTS ? MEDIUM : LOW;
    }
}
