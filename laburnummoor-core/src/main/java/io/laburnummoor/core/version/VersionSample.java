package io.laburnummoor.core.version;

/**
 * Outcomes of the attempts on one version in one stratum and period.
 *
 * @param requests number of ended attempts
 * @param errors number of attempts that the upstream answered with an error
 * @param losses number of attempts whose connection was refused or broke
 * @param timesToFirstToken times to first token, at most one for each attempt
 * @param interTokenLatencies mean inter-token latencies, at most one for each attempt
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
