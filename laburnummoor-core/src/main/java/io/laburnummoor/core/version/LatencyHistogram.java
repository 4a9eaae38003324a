package io.laburnummoor.core.version;

import java.util.Arrays;

/**
 * Latency histogram whose bucket bounds grow by a constant factor; immutable. Histograms of several routers can be
 * added.
 *
 * <p>Bucket {@code i} holds latencies from {@code 0.1 ms × 1.2^i} up to the next bound. 72 buckets cover up to 50 s.
 */
public final class LatencyHistogram {
    /** Number of buckets. */
    public static final int BUCKET_COUNT = 72;
    /** Histogram without latencies. */
    public static final LatencyHistogram EMPTY = new LatencyHistogram(new int[BUCKET_COUNT]);

    private static final double GROWTH = 1.2;
    private static final double FIRST_BOUND_MICROS = 100;

    private final int[] counts;
    private final long total;

    private LatencyHistogram(int[] counts) {
        this.counts = counts;
        this.total = Arrays.stream(counts).asLongStream().sum();
    }

    /** Creates a histogram from counts by bucket; buckets without a count are empty. */
    public static LatencyHistogram of(int... counts) {
        return new LatencyHistogram(Arrays.copyOf(counts, BUCKET_COUNT));
    }

    /** Returns the index of the bucket for a latency. */
    public static int bucketOf(long micros) {
        double steps = Math.log(Math.max((double) micros, FIRST_BOUND_MICROS) / FIRST_BOUND_MICROS) / Math.log(GROWTH);
        return (int) Math.min(BUCKET_COUNT - 1L, (long) steps);
    }

    /** Returns the number of buckets between two latencies with the given ratio, at least 1. */
    public static int bucketSpan(double ratio) {
        return (int) Math.max(1, Math.round(Math.log(ratio) / Math.log(GROWTH)));
    }

    /** Returns the sum of both histograms. */
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

    /** Returns the number of latencies in this bucket and all higher ones. */
    public long atOrAbove(int bucket) {
        long sum = 0;
        for (int i = Math.max(0, bucket); i < BUCKET_COUNT; i++) {
            sum += counts[i];
        }
        return sum;
    }

    /** Returns the lowest bucket such that it and all higher ones hold at most the given fraction of latencies. */
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
