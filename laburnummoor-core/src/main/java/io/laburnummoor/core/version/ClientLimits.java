package io.laburnummoor.core.version;

/**
 * Bounds on what a caller may send and how long it may stay idle.
 *
 * @param headerBytes greatest size of a request's head
 * @param bodyBytes greatest size of a request's body
 * @param headerTimeoutMillis longest time for a request's head to arrive
 * @param idleTimeoutMillis time after which an idle connection is closed
 */
public record ClientLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Bounds until a configuration is known. */
    public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4 << 20, 3_000, 15_000);
}
