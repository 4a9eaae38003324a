package io.laburnummoor.core.version;

/**
 * Samples of both versions in one stratum over the same period.
 *
 * @param before sample of the old version
 * @param after sample of the new version
 */
public record Comparison(VersionSample before, VersionSample after) {
    /** A comparison without attempts. */
    public static final Comparison EMPTY = new Comparison(VersionSample.EMPTY, VersionSample.EMPTY);

    /** Returns the sum of both comparisons. */
    public Comparison plus(Comparison other) {
        return new Comparison(before.plus(other.before), after.plus(other.after));
    }
}
