package io.laburnummoor.core.version;

/**
 * Limits on the size of requests and on the time that a connection of a caller may stay idle.
 *
 * @param headerBytes maximum size of a request's header section
 * @param bodyBytes maximum size of a request's body
 * @param headerTimeoutMillis time within which a request's header section must arrive
 * @param idleTimeoutMillis time after which an idle connection is closed
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply until a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
}
