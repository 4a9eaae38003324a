package io.laburnummoor.core.version;

import java.util.Arrays;

/**
 * Counts of latencies in buckets whose bounds grow by a constant factor; immutable, counts of several routers add up.
 *
 * <p>Bucket {@code i} holds latencies from {@code 0.1 ms × 1.2^i} up to the next bound. 72 buckets reach 50 s.
 */
public final class LatencyHistogram {
    /** Number of buckets. */
    public static final int BUCKET_COUNT = 72;
    /** Counts without any latency. */
    public static final LatencyHistogram EMPTY = new LatencyHistogram(new int[BUCKET_COUNT]);

    private static final double GROWTH = 1.2;
    private static final double FIRST_BOUND_MICROS = 100;

    private final int[] counts;
    private final long total;

    private LatencyHistogram(int[] counts) {
        this.counts = counts;
        this.total = Arrays.stream(counts).asLongStream().sum();
    }

    /** Returns counts with the given numbers by bucket; further buckets are empty. */
    public static LatencyHistogram of(int... counts) {
        return new LatencyHistogram(Arrays.copyOf(counts, BUCKET_COUNT));
    }

    /** Returns the bucket of a latency. */
    public static int bucketOf(long micros) {
        double steps = Math.log(Math.max((double) micros, FIRST_BOUND_MICROS) / FIRST_BOUND_MICROS) / Math.log(GROWTH);
        return (int) Math.min(BUCKET_COUNT - 1L, (long) steps);
    }

    /** Returns the number of buckets that a ratio of two latencies spans, at least 1. */
    public static int bucketSpan(double ratio) {
        return (int) Math.max(1, Math.round(Math.log(ratio) / Math.log(GROWTH)));
    }

    /** Returns the sum of both counts. */
    public LatencyHistogram plus(LatencyHistogram other) {
        int[] sum = counts.clone();
        for (int i = 0; i < BUCKET_COUNT; i++) {
            sum[i] += other.counts[i];
        }
        return new LatencyHistogram(sum);
    }

    /** Returns the number of latencies. */
    public long total() {
        return total;
    }

    /** Returns the number of latencies in a bucket or above it. */
    public long atOrAbove(int bucket) {
        long sum = 0;
        for (int i = Math.max(0, bucket); i < BUCKET_COUNT; i++) {
            sum += counts[i];
        }
        return sum;
    }

    /** Returns the lowest bucket with at most the given fraction of latencies in it or above it. */
    public int tailBucket(double fraction) {
        long above = 0;
        for (int bucket = BUCKET_COUNT - 1; bucket > 0; bucket--) {
            above += counts[bucket];
            if (above > fraction * total) {
                return Math.min(bucket + 1, BUCKET_COUNT - 1);
            }
        }
        return 1;
    }

    /** Returns a copy of the counts by bucket. */
    public int[] toArray() {
        return counts.clone();
    }
}
