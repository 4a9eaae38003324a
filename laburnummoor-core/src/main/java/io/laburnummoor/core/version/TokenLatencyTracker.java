package io.laburnummoor.core.version;

import java.util.concurrent.atomic.AtomicLong;

import io.laburnummoor.core.request.StallPolicy;

/**
 * Tracks the time to first token and the inter-token latency of one upstream version, and derives from them when an
 * attempt on that version counts as stalled.
 *
 * <p>Both are exponentially weighted moving averages in microseconds, kept in atomics and shared by all requests.
 */
public final class TokenLatencyTracker implements StallPolicy {
    /** Lower bound of the next-token timeout; shorter pauses are normal while an engine admits a large batch. */
    private static final long MIN_NEXT_TOKEN_TIMEOUT_MILLIS = 400;
    /** Lower bound of the first-token timeout, three times the time-to-first-token target of 0.47 s. */
    private static final long MIN_FIRST_TOKEN_TIMEOUT_MILLIS = 1_500;

    private static final int NEXT_TOKEN_TIMEOUT_FACTOR = 8;
    private static final int FIRST_TOKEN_TIMEOUT_FACTOR = 4;
    /** Each sample enters its average with a weight of 1/32. */
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
