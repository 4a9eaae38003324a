package io.laburnummoor.core.version;

/**
 * Outcome of one attempt to run a request on an upstream.
 *
 * @param end how the attempt ended
 * @param timeToFirstTokenMicros time to first token, 0 if there was no token
 * @param interTokenLatencyMicros mean inter-token latency, 0 if there were fewer than two tokens
 */
public record AttemptOutcome(End end, long timeToFirstTokenMicros, long interTokenLatencyMicros) {
    /** How an attempt ended. */
    public enum End {
        /** The attempt delivered its complete answer, or the router cancelled it. */
        COMPLETED,
        /** The upstream answered with an error. */
        ERROR,
        /** The connection was refused or broke. */
        LOST
    }
}
