package io.laburnummoor.core.process;

import io.laburnummoor.core.Snapshot;

/** Estimates how long a complete stream takes. Used by a gateway's event loops concurrently. */
public final class StreamDurationEstimator {
    /** Value of the estimate until a stream has ended. */
    public static final long UNKNOWN_MILLIS = 0;

    private static final double SMOOTHING_FACTOR = 0.1;
    /** Covers most streams that are longer than the mean. */
    private static final double UPPER_FACTOR = 1.2;

    private final Snapshot<Double> meanMillis = new Snapshot<>((double) UNKNOWN_MILLIS);

    /** Records the duration of a stream that was delivered completely. */
    public void record(long millis) {
        meanMillis.update(
                before -> before == UNKNOWN_MILLIS ? (double) millis : before + SMOOTHING_FACTOR * (millis - before));
    }

    /** Returns a time within which most streams are complete, or {@link #UNKNOWN_MILLIS}. */
    public long upperMillis() {
        return Math.round(UPPER_FACTOR * meanMillis.get());
    }
}
