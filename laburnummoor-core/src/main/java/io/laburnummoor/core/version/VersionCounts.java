package io.laburnummoor.core.version;

/**
 * Evaluated answers of the old and the new version on one route since the rollout was ordered.
 *
 * @param oldTrials answers of the old version
 * @param oldFailures failed or slow answers of the old version
 * @param newTrials answers of the new version
 * @param newFailures failed or slow answers of the new version
 */
public record VersionCounts(long oldTrials, long oldFailures, long newTrials, long newFailures) {
    /** Counts without answers. */
    public static final VersionCounts NONE = new VersionCounts(0, 0, 0, 0);

    /** Returns the counts with one more answer. */
    public VersionCounts plusAnswer(boolean newVersion, boolean failed) {
        int failure = failed ? 1 : 0;
        return newVersion
                ? new VersionCounts(oldTrials, oldFailures, newTrials + 1, newFailures + failure)
                : new VersionCounts(oldTrials + 1, oldFailures + failure, newTrials, newFailures);
    }

    /** Returns the sum of two counts. */
    public VersionCounts plus(VersionCounts other) {
        return new VersionCounts(
                oldTrials + other.oldTrials,
                oldFailures + other.oldFailures,
                newTrials + other.newTrials,
                newFailures + other.newFailures);
    }

    /** Returns the difference to earlier counts, at least 0 for each count. */
    public VersionCounts since(VersionCounts earlier) {
        return new VersionCounts(
                Math.max(0, oldTrials - earlier.oldTrials),
                Math.max(0, oldFailures - earlier.oldFailures),
                Math.max(0, newTrials - earlier.newTrials),
                Math.max(0, newFailures - earlier.newFailures));
    }
}
