package io.laburnummoor.core.version;

import java.util.HashMap;
import java.util.Map;

/**
 * Evaluates the new version of a rollout that an operator ordered, by one sequential test for each route and one over
 * all routes. One run of a test rejects a good version with a probability of at most 1 % and accepts a bad one with at
 * most 1 %; after an acceptance the test runs again. Not thread-safe.
 */
public final class OrderedEvaluation {
    private static final double FALSE_ALARM_RATE = 0.01;
    private static final double MISS_RATE = 0.01;
    /** Failure rate that a good version may have even if the old version's rate is lower. */
    private static final double MIN_BASELINE_FAILURE_RATE = 0.04;

    /** Keeps the failure rate of a bad version, which is the baseline plus the increase, below 1. */
    private static final double MAX_BASELINE_FAILURE_RATE = 0.5;
    /** Increase of the failure rate above the baseline that makes a version bad. */
    private static final double BAD_RATE_INCREASE = 0.25;

    /** Progress of a test towards rejection above which the traffic share is not increased. */
    private static final double SUSPICIOUS_PROGRESS = 0.3;

    private static final String ALL_ROUTES = "*";

    private final Map<String, SequentialTest> tests = new HashMap<>();
    private final Map<String, VersionCounts> previousTotals = new HashMap<>();

    /** Adds the counts since the last call; the given counts are totals by route over all routers. */
    public void update(Map<String, VersionCounts> totals) {
        Map<String, VersionCounts> withAll = new HashMap<>(totals);
        withAll.put(ALL_ROUTES, totals.values().stream().reduce(VersionCounts.NONE, VersionCounts::plus));
        withAll.forEach((route, total) -> {
            VersionCounts added = total.since(previousTotals.getOrDefault(route, VersionCounts.NONE));
            previousTotals.put(route, total);
            if (added.newTrials() > 0) {
                double baselineRate = baselineFailureRate(total);
                tests.computeIfAbsent(route, key -> new SequentialTest(FALSE_ALARM_RATE, MISS_RATE))
                        .add(added.newFailures(), added.newTrials(), baselineRate, baselineRate + BAD_RATE_INCREASE, 1);
            }
        });
    }

    private static double baselineFailureRate(VersionCounts total) {
        double oldRate = total.oldTrials() == 0 ? 0 : (double) total.oldFailures() / total.oldTrials();
        return Math.min(MAX_BASELINE_FAILURE_RATE, Math.max(MIN_BASELINE_FAILURE_RATE, oldRate));
    }

    /** Returns whether any test has rejected the new version. */
    public boolean isBad() {
        return tests.values().stream().anyMatch(SequentialTest::isRejected);
    }

    /** Returns whether any test is too close to rejection to increase the traffic share. */
    public boolean isSuspicious() {
        return tests.values().stream().anyMatch(each -> each.progress() > SUSPICIOUS_PROGRESS);
    }

    /** Returns the number of evaluated answers of both versions. */
    public long allTrials() {
        VersionCounts all = previousTotals.getOrDefault(ALL_ROUTES, VersionCounts.NONE);
        return all.oldTrials() + all.newTrials();
    }

    /** Returns the number of evaluated answers of the new version. */
    public long newTrials() {
        return previousTotals.getOrDefault(ALL_ROUTES, VersionCounts.NONE).newTrials();
    }
}
