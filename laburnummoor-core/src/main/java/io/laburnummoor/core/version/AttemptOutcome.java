package io.laburnummoor.core.version;

/**
 * How one attempt ended.
 *
 * @param end kind of end
 * @param timeToFirstTokenMicros time to the first token, 0 if there was none
 * @param interTokenLatencyMicros mean time between tokens, 0 if there were fewer than two
 */
public record AttemptOutcome(End end, long timeToFirstTokenMicros, long interTokenLatencyMicros) {
    /** Kind of end. */
    public enum End {
        /** The attempt gave all it was asked for, or was cancelled by the router. */
        COMPLETED,
        /** The upstream answered with an error. */
        ERROR,
        /** The upstream refused the connection or broke it. */
        LOST
    }
}
