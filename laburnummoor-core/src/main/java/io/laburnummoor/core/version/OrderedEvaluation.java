package io.laburnummoor.core.version;

import java.util.HashMap;
import java.util.Map;

/**
 * Judges the new version of an ordered rollout by one sequential test for each route and one over all routes. Its rates
 * hold for one run of a test: a good version is rejected with 1 %, a bad one accepted with 1 % and tested again.
 */
public final class OrderedEvaluation {
    private static final double FALSE_ALARM_RATE = 0.01;
    private static final double MISS_RATE = 0.01;
    /** Share of failures that a sound version may have, whatever the old one shows. */
    private static final double MIN_BASELINE_FAILURE_RATE = 0.04;

    private static final double MAX_BASELINE_FAILURE_RATE = 0.5;
    /** A version counts as bad if this much more of its answers fail. */
    private static final double BAD_RATE_INCREASE = 0.25;

    private static final double SUSPICIOUS_PROGRESS = 0.3;
    private static final String ALL_ROUTES = "*";

    private final Map<String, SequentialTest> tests = new HashMap<>();
    private final Map<String, VersionCounts> previousTotals = new HashMap<>();

    /** Adds what has been counted since the last call; the counts are totals by route over all routers. */
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

    /** Returns whether any route's test has found the new version bad. */
    public boolean isBad() {
        return tests.values().stream().anyMatch(SequentialTest::isRejected);
    }

    /** Returns whether any test is too far on its way to rejection for a step forward. */
    public boolean isSuspicious() {
        return tests.values().stream().anyMatch(each -> each.progress() > SUSPICIOUS_PROGRESS);
    }

    /** Returns the number of judged answers of both versions. */
    public long allTrials() {
        VersionCounts all = previousTotals.getOrDefault(ALL_ROUTES, VersionCounts.NONE);
        return all.oldTrials() + all.newTrials();
    }

    /** Returns the number of judged answers of the new version. */
    public long newTrials() {
        return previousTotals.getOrDefault(ALL_ROUTES, VersionCounts.NONE).newTrials();
    }
}
