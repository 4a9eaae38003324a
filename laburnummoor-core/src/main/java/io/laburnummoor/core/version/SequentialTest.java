package io.laburnummoor.core.version;

/**
 * A sequential probability ratio test of a failure probability that restarts each time it accepts the null hypothesis.
 *
 * <p>The restart bounds the detection delay for a version that becomes bad late; without it, new failures would first
 * have to outweigh all earlier successes. Each run rejects a good version with at most the given probability (Wald's
 * bound).
 */
public final class SequentialTest {
    /** Maximum progress towards rejection in one period, so that a single burst of failures does not decide. */
    private static final double MAX_PROGRESS_PER_PERIOD = 1.0 / 3;

    private final double rejectBound;
    private final double acceptBound;
    private double logLikelihoodRatio;
    private boolean rejected;
    private long acceptCount;

    /**
     * Creates a test.
     *
     * @param falseAlarmRate probability that one run rejects although the null hypothesis holds
     * @param missRate probability that one run accepts although the alternative holds
     */
    public SequentialTest(double falseAlarmRate, double missRate) {
        this.rejectBound = Math.log((1 - missRate) / falseAlarmRate);
        this.acceptBound = Math.log(missRate / (1 - falseAlarmRate));
    }

    /**
     * Adds the trials of one period.
     *
     * @param failures number of trials that failed
     * @param trials number of trials
     * @param nullProbability probability of failure under the null hypothesis that the version is good
     * @param badProbability probability of failure under the alternative hypothesis that it is bad
     * @param weight factor from 0 to 1 that discounts the evidence of trials that are not independent
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

    /** Returns the progress of the current run towards rejection: 1 or more rejects, below 0 favours acceptance. */
    public double progress() {
        return logLikelihoodRatio / rejectBound;
    }

    /** Returns the number of runs that have accepted. */
    public long acceptCount() {
        return acceptCount;
    }
}
