package io.laburnummoor.core.process;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.request.RequestId;

/**
 * Fixed parameters of the claim log. All routers of a deployment must use the same partitions and retention.
 *
 * <p>Writes per second on the store are bounded by {@code PARTITIONS × 1000 / COMMIT_INTERVAL_MILLIS} = 32 × 5 = 160
 * commits, plus at most 32 holders × 0.5 lease renewals = 16, independent of the call rate.
 *
 * @param retentionMillis time for which a key is remembered after its issue
 * @param sealThresholdBytes encoded size at which a segment is sealed
 */
public record ClaimPolicy(long retentionMillis, int sealThresholdBytes) {
    /** Number of partitions into which keys are hashed. */
    public static final int PARTITIONS = 32;
    /** Minimum mean interval between commits of a partition. */
    public static final long COMMIT_INTERVAL_MILLIS = 200;
    /** Maximum burst of commits of a partition after an idle period. */
    public static final int COMMIT_BURST = 4;
    /**
     * Maximum number of records in a commit. With bodies of {@link #MAX_RECORDED_BODY_BYTES} in base64 a full batch is
     * about 730 KB; added to a segment just below the seal threshold it stays under the store's limit of 1 MB per
     * value.
     */
    public static final int MAX_BATCH_RECORDS = 128;
    /** Maximum size of a result's body that is recorded. */
    public static final int MAX_RECORDED_BODY_BYTES = 4_096;
    /** Time after which a claim is no longer committed and its call is no longer sent to an upstream. */
    public static final long CLAIM_TIMEOUT_MILLIS = 5_000;
    /**
     * Maximum age of a holder's view; an older view is reloaded before a commit. It must be well below the retention: a
     * holder that was paused until segments were dropped could otherwise create one of them again.
     */
    public static final long VIEW_MAX_AGE_MILLIS = 60_000;
    /** Production parameters: keys are remembered for one day, segments are sealed at 64 KB. */
    public static final ClaimPolicy STANDARD = new ClaimPolicy(86_400_000, 64 << 10);

    private static final long DROP_MARGIN_MILLIS =
            2 * Clock.MAX_CLOCK_DIFFERENCE_MILLIS + VIEW_MAX_AGE_MILLIS + CLAIM_TIMEOUT_MILLIS;

    /** Returns the partition of a key. */
    public static int partitionOf(RequestId id) {
        return (int) Math.floorMod(RendezvousHash.hash(id.toString()), (long) PARTITIONS);
    }

    /** Returns the time from which a segment written now contains only expired keys. */
    long dropDeadlineMillis(long nowMillis) {
        return nowMillis + retentionMillis + DROP_MARGIN_MILLIS;
    }
}
