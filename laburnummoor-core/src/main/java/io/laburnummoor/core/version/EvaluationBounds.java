package io.laburnummoor.core.version;

import java.util.List;

/**
 * Thresholds above which an evaluation rejects a version, and its permitted error rates.
 *
 * @param routes routes that are evaluated separately; all others are evaluated together
 * @param maxErrorRateIncrease increase of the rate of errors or losses that counts as bad
 * @param maxSlowdownRatio ratio of latencies, new to old, that counts as bad
 * @param falseAlarmRate maximum probability that a good version is rejected during a whole rollout
 * @param missRate probability that one run of a test accepts a bad version
 */
public record EvaluationBounds(
        List<String> routes,
        double maxErrorRateIncrease,
        double maxSlowdownRatio,
        double falseAlarmRate,
        double missRate) {
    /** Required upper bound on the fraction of good versions that are rolled back. */
    public static final double FALSE_ALARM_RATE = 0.01;
    /** Required upper bound on the rate at which one test run accepts a bad version; the next run tests it again. */
    public static final double MISS_RATE = 0.01;

    /** Returns the bounds of a declared rollout with the required rates. */
    public static EvaluationBounds of(RolloutDeclaration declaration) {
        return new EvaluationBounds(
                declaration.routes(),
                declaration.maxErrorRateIncrease(),
                declaration.maxSlowdownRatio(),
                FALSE_ALARM_RATE,
                MISS_RATE);
    }

    /** Returns bounds whose false-alarm rate is divided among several evaluators, each of which can decide alone. */
    public EvaluationBounds dividedAmong(int evaluators) {
        return new EvaluationBounds(
                routes, maxErrorRateIncrease, maxSlowdownRatio, falseAlarmRate / Math.max(1, evaluators), missRate);
    }
}
