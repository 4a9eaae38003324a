package io.laburnummoor.core.version;

import java.util.concurrent.atomic.AtomicLong;

import io.laburnummoor.core.request.StallPolicy;

/**
 * Expected time to the first token and between tokens of one upstream version, learned from running attempts.
 *
 * <p>Both are exponentially weighted moving averages in microseconds, kept in atomics and shared by all requests.
 */
public final class TokenLatencyTracker implements StallPolicy {
    /** Silence below this is never suspect: shorter pauses are usual while an engine admits a large batch. */
    private static final long MIN_NEXT_TOKEN_TIMEOUT_MILLIS = 400;
    /** First-token silence below this is never suspect: it is three times the first-token target of 0.47 s. */
    private static final long MIN_FIRST_TOKEN_TIMEOUT_MILLIS = 1_500;

    private static final int NEXT_TOKEN_TIMEOUT_FACTOR = 8;
    private static final int FIRST_TOKEN_TIMEOUT_FACTOR = 4;
    private static final int AVERAGE_WEIGHT_SHIFT = 5;
    private static final long MICROS_PER_MILLI = 1_000;

    private final AtomicLong interTokenLatencyMicros = new AtomicLong();
    private final AtomicLong timeToFirstTokenMicros = new AtomicLong();

    /** Records the time between two tokens of one attempt. */
    public void recordInterTokenLatencyMicros(long micros) {
        record(interTokenLatencyMicros, micros);
    }

    /** Records the time from the start of an attempt to its first token. */
    public void recordTimeToFirstTokenMicros(long micros) {
        record(timeToFirstTokenMicros, micros);
    }

    @Override
    public long firstTokenDeadlineMillis(long nowMillis) {
        long expectedMillis = timeToFirstTokenMicros.get() / MICROS_PER_MILLI;
        return nowMillis + Math.max(FIRST_TOKEN_TIMEOUT_FACTOR * expectedMillis, MIN_FIRST_TOKEN_TIMEOUT_MILLIS);
    }

    @Override
    public long nextTokenDeadlineMillis(long nowMillis) {
        long expectedMillis = interTokenLatencyMicros.get() / MICROS_PER_MILLI;
        return nowMillis + Math.max(NEXT_TOKEN_TIMEOUT_FACTOR * expectedMillis, MIN_NEXT_TOKEN_TIMEOUT_MILLIS);
    }

    private static void record(AtomicLong average, long micros) {
        average.accumulateAndGet(
                micros, (old, sample) -> old == 0 ? sample : old + ((sample - old) >> AVERAGE_WEIGHT_SHIFT));
    }
}
