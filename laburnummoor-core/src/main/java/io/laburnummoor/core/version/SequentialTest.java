package io.laburnummoor.core.version;

/**
 * A sequential probability ratio test of a failure probability that starts again each time it accepts.
 *
 * <p>Starting again bounds the delay for a version that becomes bad late: without it, a long good time would have to be
 * outweighed first. Each run rejects a good version with at most the given probability (Wald's bound).
 */
public final class SequentialTest {
    /** One period may bring at most this fraction of the way to rejection, so that no single burst decides. */
    private static final double MAX_PROGRESS_PER_PERIOD = 1.0 / 3;

    private final double rejectBound;
    private final double acceptBound;
    private double logLikelihoodRatio;
    private boolean rejected;
    private long acceptCount;

    /**
     * Creates a test.
     *
     * @param falseAlarmRate probability that one run rejects although the hypothesis holds
     * @param missRate probability that one run accepts although the alternative holds
     */
    public SequentialTest(double falseAlarmRate, double missRate) {
        this.rejectBound = Math.log((1 - missRate) / falseAlarmRate);
        this.acceptBound = Math.log(missRate / (1 - falseAlarmRate));
    }

    /**
     * Adds trials of one period.
     *
     * @param failures number of trials that failed
     * @param trials number of trials
     * @param nullProbability probability of failure under the hypothesis that the version is good
     * @param badProbability probability of failure under the alternative
     * @param weight fraction from 0 to 1 by which evidence is discounted because trials are not independent
     */
    public void add(long failures, long trials, double nullProbability, double badProbability, double weight) {
        double change = failures * Math.log(badProbability / nullProbability)
                + (trials - failures) * Math.log((1 - badProbability) / (1 - nullProbability));
        logLikelihoodRatio += Math.min(weight * change, rejectBound * MAX_PROGRESS_PER_PERIOD);
        if (logLikelihoodRatio >= rejectBound) {
            rejected = true;
        } else if (logLikelihoodRatio <= acceptBound) {
            logLikelihoodRatio = 0;
            acceptCount++;
        }
    }

    /** Returns whether any run has rejected. */
    public boolean isRejected() {
        return rejected;
    }

    /** Returns how far the present run is on the way to rejection: 1 or more is rejected, below 0 leans to good. */
    public double progress() {
        return logLikelihoodRatio / rejectBound;
    }

    /** Returns how often the test has accepted. */
    public long acceptCount() {
        return acceptCount;
    }
}
