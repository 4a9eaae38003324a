package io.laburnummoor.core.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares both versions by sequential tests: one for each route, load level and metric, and one for each load level
 * and metric over all routes, which needs less traffic to find a version that is bad on every route.
 *
 * <p>The probabilities under the null hypothesis come from the old version over the same period, route and load level.
 * Latencies are tested by how often the new version exceeds a high quantile of the old one. How often a version that is
 * slower by the declared ratio would exceed it is derived from the old version's distribution.
 */
public final class SequentialEvaluation implements VersionEvaluation {
    /** Number of test runs in a rollout that share the false-alarm rate: 48 tests with 100 runs each. */
    private static final int EXPECTED_RUNS = 4_800;
    /** Name of the group of all routes; no path or adapter has this name. */
    private static final String ALL_ROUTES = "*";
    /** Progress of a test towards rejection above which the traffic share is not increased. */
    private static final double SUSPICIOUS_PROGRESS = 0.4;

    private final EvaluationBounds bounds;
    private final CorrelatedLossFilter filter = new CorrelatedLossFilter();
    private final Map<Group, MetricTests> groups = new TreeMap<>();
    private long comparedRequests;

    /** Creates an evaluation without evidence. */
    public SequentialEvaluation(EvaluationBounds bounds) {
        this.bounds = bounds;
    }

    @Override
    public void add(Map<Stratum, Comparison> period) {
        Map<Stratum, Comparison> usable = filter.add(period);
        if (usable == null) {
            return;
        }
        Map<Group, Comparison> totals = new HashMap<>();
        Map<Group, MetricTests.LossTrials> losses = new HashMap<>();
        usable.forEach((stratum, comparison) -> {
            String route = bounds.routes().contains(stratum.route()) ? stratum.route() : "";
            for (String each : List.of(route, ALL_ROUTES)) {
                Group group = new Group(each, stratum.loadLevel());
                totals.merge(group, comparison, Comparison::plus);
                losses.merge(group, MetricTests.LossTrials.of(comparison), MetricTests.LossTrials::plus);
            }
        });
        totals.forEach((group, total) -> {
            if (group.route().equals(ALL_ROUTES)) {
                comparedRequests += total.after().requests();
            }
            groups.computeIfAbsent(group, added -> new MetricTests(bounds, EXPECTED_RUNS))
                    .add(total, losses.getOrDefault(group, MetricTests.LossTrials.NONE));
        });
    }

    @Override
    public Verdict verdict() {
        double highest = Double.NEGATIVE_INFINITY;
        boolean bad = false;
        String evidence = "no evidence yet";
        for (Map.Entry<Group, MetricTests> each : groups.entrySet()) {
            for (MetricTests.MetricTest metric : each.getValue().metrics()) {
                double progress = metric.test().isRejected()
                        ? Double.POSITIVE_INFINITY
                        : metric.test().progress();
                if (progress > highest) {
                    highest = progress;
                    evidence = each.getKey() + ": " + metric.describe();
                }
                bad |= metric.test().isRejected();
            }
        }
        return new Verdict(bad, highest > SUSPICIOUS_PROGRESS, comparedRequests, evidence);
    }

    /** A route and a load level. */
    private record Group(String route, LoadLevel loadLevel) implements Comparable<Group> {
        @Override
        public int compareTo(Group other) {
            int byRoute = route.compareTo(other.route);
            return byRoute != 0 ? byRoute : loadLevel.compareTo(other.loadLevel);
        }

        @Override
        public String toString() {
            String name = route.equals(ALL_ROUTES) ? "all routes" : "route " + route;
            return (route.isEmpty() ? "other routes" : name) + ", load " + loadLevel;
        }
    }
}
