package io.laburnummoor.core.version;

import java.util.concurrent.atomic.AtomicLong;

import io.laburnummoor.core.request.StallPolicy;

/**
 * Expected time to the first token and between tokens of one upstream version, learned from running attempts.
 *
 * <p>Both are exponentially weighted moving averages in microseconds, kept in atomics and shared by all requests.
 */
public final class TokenPace implements StallPolicy {
    /** Silence below this is never suspect: shorter pauses are usual while an engine admits a large batch. */
    private static final long MIN_TOKEN_SILENCE_MILLIS = 400;
    /** First-token silence below this is never suspect: it is three times the first-token target of 0.47 s. */
    private static final long MIN_FIRST_TOKEN_SILENCE_MILLIS = 1_500;

    private static final int TOKEN_SILENCE_FACTOR = 8;
    private static final int FIRST_TOKEN_SILENCE_FACTOR = 4;
    private static final int WEIGHT_SHIFT = 5;
    private static final long MICROS_PER_MILLI = 1_000;

    private final AtomicLong gapMicros = new AtomicLong();
    private final AtomicLong firstTokenMicros = new AtomicLong();

    /** Records the time between two tokens of one attempt. */
    public void recordGapMicros(long micros) {
        record(gapMicros, micros);
    }

    /** Records the time from the start of an attempt to its first token. */
    public void recordFirstTokenMicros(long micros) {
        record(firstTokenMicros, micros);
    }

    @Override
    public long firstTokenDeadlineMillis(long nowMillis) {
        long expectedMillis = firstTokenMicros.get() / MICROS_PER_MILLI;
        return nowMillis + Math.max(FIRST_TOKEN_SILENCE_FACTOR * expectedMillis, MIN_FIRST_TOKEN_SILENCE_MILLIS);
    }

    @Override
    public long nextTokenDeadlineMillis(long nowMillis) {
        long expectedMillis = gapMicros.get() / MICROS_PER_MILLI;
        return nowMillis + Math.max(TOKEN_SILENCE_FACTOR * expectedMillis, MIN_TOKEN_SILENCE_MILLIS);
    }

    private static void record(AtomicLong average, long micros) {
        average.accumulateAndGet(micros, (old, sample) -> old == 0 ? sample : old + ((sample - old) >> WEIGHT_SHIFT));
    }
}
