package io.laburnummoor.core.process;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.request.RequestId;

/**
 * Fixed numbers of the claim log. All routers of a deployment must use the same partitions and retention.
 *
 * <p>Writes per second on the key-value service are bounded by {@code PARTITIONS × 1000 / COMMIT_INTERVAL_MILLIS} =
 * 32 × 5 = 160 commits, plus at most 32 holders × 0.5 lease renewals = 16, whatever the rate of calls.
 *
 * @param retentionMillis time for which a key is remembered after its issue
 * @param sealThresholdBytes size at which a segment takes no further records
 */
public record ClaimPolicy(long retentionMillis, int sealThresholdBytes) {
    /** Number of partitions of all keys. */
    public static final int PARTITIONS = 32;
    /** Shortest mean time between two commits of a partition. */
    public static final long COMMIT_INTERVAL_MILLIS = 200;
    /** Commits that a partition may make at once after a quiet time. */
    public static final int COMMIT_BURST = 4;
    /**
     * Greatest number of records in a commit. With bodies of {@link #MAX_RECORDED_BODY_BYTES} in base64 a full batch is
     * about 730 KB, which with a segment just below its seal size stays under the 1 MB limit of a value.
     */
    public static final int MAX_BATCH_RECORDS = 128;
    /** Largest body of a result that is recorded. */
    public static final int MAX_RECORDED_BODY_BYTES = 4_096;
    /** Time after which a claim is neither committed nor handed over. */
    public static final long CLAIM_TIMEOUT_MILLIS = 5_000;
    /**
     * Age at which a holder reads the partition anew before it commits. It must be well below the retention: a holder
     * that was paused until segments were dropped could otherwise create one of them again.
     */
    public static final long VIEW_MAX_AGE_MILLIS = 60_000;
    /** The numbers of normal operation: keys are kept for a day, segments are sealed at 64 KB. */
    public static final ClaimPolicy STANDARD = new ClaimPolicy(86_400_000, 64 << 10);

    private static final long DROP_MARGIN_MILLIS =
            2 * Clock.MAX_CLOCK_DIFFERENCE_MILLIS + VIEW_MAX_AGE_MILLIS + CLAIM_TIMEOUT_MILLIS;

    /** Returns the partition of a key. */
    public static int partitionOf(RequestId id) {
        return (int) Math.floorMod(RendezvousHash.hash(id.toString()), (long) PARTITIONS);
    }

    /** Returns the time from which a segment that is written now holds only expired keys. */
    long dropDeadlineMillis(long nowMillis) {
        return nowMillis + retentionMillis + DROP_MARGIN_MILLIS;
    }
}
