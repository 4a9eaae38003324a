package io.laburnummoor.core.version;

import java.util.Arrays;

/**
 * Counts of latencies in buckets whose bounds grow by a constant factor; immutable, counts of several routers add up.
 *
 * <p>Bucket {@code i} holds latencies from {@code 0.1 ms × 1.2^i} up to the next bound. 72 buckets reach 50 s.
 */
public final class LatencyCounts {
    /** Number of buckets. */
    public static final int BUCKETS = 72;
    /** Counts without any latency. */
    public static final LatencyCounts EMPTY = new LatencyCounts(new int[BUCKETS]);

    private static final double GROWTH = 1.2;
    private static final double FIRST_BOUND_MICROS = 100;

    private final int[] counts;
    private final long total;

    private LatencyCounts(int[] counts) {
        this.counts = counts;
        this.total = Arrays.stream(counts).asLongStream().sum();
    }

    /** Returns counts with the given numbers by bucket; further buckets are empty. */
    public static LatencyCounts of(int... counts) {
        return new LatencyCounts(Arrays.copyOf(counts, BUCKETS));
    }

    /** Returns the bucket of a latency. */
    public static int bucketOf(long micros) {
        double steps = Math.log(Math.max((double) micros, FIRST_BOUND_MICROS) / FIRST_BOUND_MICROS) / Math.log(GROWTH);
        return (int) Math.min(BUCKETS - 1L, (long) steps);
    }

    /** Returns the number of buckets that a ratio of two latencies spans, at least 1. */
    public static int bucketsOfRatio(double ratio) {
        return (int) Math.max(1, Math.round(Math.log(ratio) / Math.log(GROWTH)));
    }

    /** Returns the sum of both counts. */
    public LatencyCounts plus(LatencyCounts other) {
        int[] sum = counts.clone();
        for (int i = 0; i < BUCKETS; i++) {
            sum[i] += other.counts[i];
        }
        return new LatencyCounts(sum);
    }

    /** Returns the number of latencies. */
    public long total() {
        return total;
    }

    /** Returns the number of latencies in a bucket or above it. */
    public long atOrAbove(int bucket) {
        long sum = 0;
        for (int i = Math.max(0, bucket); i < BUCKETS; i++) {
            sum += counts[i];
        }
        return sum;
    }

    /** Returns the lowest bucket with at most the given fraction of latencies in it or above it. */
    public int bucketAtTail(double fraction) {
        long above = 0;
        for (int bucket = BUCKETS - 1; bucket > 0; bucket--) {
            above += counts[bucket];
            if (above > fraction * total) {
                return Math.min(bucket + 1, BUCKETS - 1);
            }
        }
        return 1;
    }

    /** Returns a copy of the counts by bucket. */
    public int[] toArray() {
        return counts.clone();
    }
}
