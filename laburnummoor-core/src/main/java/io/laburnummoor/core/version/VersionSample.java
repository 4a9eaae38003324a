package io.laburnummoor.core.version;

/**
 * What attempts on one version met in one stratum and period.
 *
 * @param requests number of attempts that ended
 * @param errors attempts that ended with an error of the upstream
 * @param losses attempts that were refused or whose connection broke
 * @param timesToFirstToken times to the first token, one for each attempt
 * @param interTokenLatencies mean times between tokens, one for each attempt
 */
public record VersionSample(
        long requests,
        long errors,
        long losses,
        LatencyHistogram timesToFirstToken,
        LatencyHistogram interTokenLatencies) {
    /** A sample without attempts. */
    public static final VersionSample EMPTY =
            new VersionSample(0, 0, 0, LatencyHistogram.EMPTY, LatencyHistogram.EMPTY);

    /** Returns the sum of both samples. */
    public VersionSample plus(VersionSample other) {
        return new VersionSample(
                requests + other.requests,
                errors + other.errors,
                losses + other.losses,
                timesToFirstToken.plus(other.timesToFirstToken),
                interTokenLatencies.plus(other.interTokenLatencies));
    }
}
