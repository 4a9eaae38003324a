package io.laburnummoor.bench.process;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Function;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.version.EvaluationBounds;
import io.laburnummoor.core.version.SequentialEvaluation;
import io.laburnummoor.core.version.VersionEvaluation;
import io.laburnummoor.wire.version.RolloutJson;

/** Runs many simulated rollouts of each kind of good, or of each kind of bad version. */
final class RolloutScenario implements Scenario {
    private static final int RUNS_PER_KIND = 30;
    private static final int BASELINE_RUNS_PER_KIND = 10;
    /** The stated false-alarm rate is 1 in 100; 3 times that is allowed in a sample of this size. */
    private static final double MAX_FALSE_ALARMS = 0.03;
    /** Bound on the requests that a bad version gets, relative to the traffic in the time of the rollout. */
    private static final double MAX_BAD_SHARE = 0.05;
    /** Bounds on the time until no router sends it anything. */
    private static final double MAX_MEDIAN_STOP_SECONDS = 180;

    private static final double MAX_STOP_SECONDS = 600;

    private static final double REQUESTS_PER_ROLLOUT = RolloutSimulation.DURATION_MILLIS / 1_000.0 * 40;

    private final boolean good;

    RolloutScenario(boolean good) {
        this.good = good;
    }

    @Override
    public ScenarioResult run(long seed) {
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        figures.put("runs_per_kind", RUNS_PER_KIND).put("fixed_threshold_runs_per_kind", BASELINE_RUNS_PER_KIND);
        int wrong = 0;
        int runs = 0;
        long violations = 0;
        boolean pass = true;
        for (TrafficModel.Kind kind : TrafficModel.Kind.values()) {
            if (kind.isGood() == good) {
                List<RolloutSimulation.Outcome> outcomes =
                        runKind(kind, seed, RUNS_PER_KIND, SequentialEvaluation::new);
                int right = countRight(outcomes);
                wrong += outcomes.size() - right;
                runs += outcomes.size();
                violations += outcomes.stream()
                        .mapToLong(RolloutSimulation.Outcome::requestsAfterStop)
                        .sum();
                ObjectNode node = figures.withObject("/" + kind.name().toLowerCase(Locale.ROOT));
                pass &= good || describeBad(outcomes, node);
                describe(outcomes, right, node);
                describeBaseline(kind, seed, 20, node);
                describeBaseline(kind, seed, 200, node);
            }
        }
        pass &= violations == 0 && (good ? wrong <= MAX_FALSE_ALARMS * runs : wrong == 0);
        figures.put("wrong_outcomes", wrong).put("runs", runs);
        return new ScenarioResult(violations, pass, figures);
    }

    private static List<RolloutSimulation.Outcome> runKind(
            TrafficModel.Kind kind, long seed, int runs, Function<EvaluationBounds, VersionEvaluation> evaluations) {
        SplittableRandom seeds = new SplittableRandom(seed * 31 + kind.ordinal());
        RolloutJson codec = new RolloutJson();
        return seeds.longs(runs)
                .parallel()
                .mapToObj(each -> new RolloutSimulation(new TrafficModel(kind), each, codec, evaluations).run(codec))
                .toList();
    }

    private void describe(List<RolloutSimulation.Outcome> outcomes, int right, ObjectNode node) {
        node.put(good ? "completed" : "rolled_back", right);
        outcomes.stream()
                .filter(each -> !isRight(each))
                .findFirst()
                .ifPresent(each -> node.put("first_wrong", describeState(each)));
    }

    private void describeBaseline(TrafficModel.Kind kind, long seed, long minRequests, ObjectNode node) {
        List<RolloutSimulation.Outcome> outcomes =
                runKind(kind, seed, BASELINE_RUNS_PER_KIND, bounds -> new FixedThresholdEvaluation(minRequests));
        ObjectNode baseline = node.withObject("/fixed_thresholds_min_" + minRequests + "_requests");
        baseline.put(good ? "completed" : "rolled_back", countRight(outcomes));
        if (!good) {
            baseline.put("requests_max", maxRequests(outcomes));
        }
    }

    private static String describeState(RolloutSimulation.Outcome outcome) {
        return outcome.state() == null
                ? "no state"
                : outcome.state().phase().text() + ": "
                        + outcome.state().events().get(outcome.state().events().size() - 1);
    }

    private static boolean describeBad(List<RolloutSimulation.Outcome> outcomes, ObjectNode node) {
        double[] seconds = outcomes.stream()
                .mapToDouble(RolloutSimulation.Outcome::secondsToStop)
                .sorted()
                .toArray();
        double maxSeconds = seconds[seconds.length - 1];
        double maxShare = maxRequests(outcomes) / REQUESTS_PER_ROLLOUT;
        node.put("stop_median_seconds", seconds[seconds.length / 2]).put("stop_max_seconds", maxSeconds);
        node.put("requests_max", maxRequests(outcomes));
        node.put("max_share_of_rollout_traffic", Math.round(maxShare * 10_000) / 10_000.0);
        return maxShare <= MAX_BAD_SHARE
                && seconds[0] >= 0
                && seconds[seconds.length / 2] <= MAX_MEDIAN_STOP_SECONDS
                && maxSeconds <= MAX_STOP_SECONDS;
    }

    private static long maxRequests(List<RolloutSimulation.Outcome> outcomes) {
        return outcomes.stream()
                .mapToLong(RolloutSimulation.Outcome::newVersionRequests)
                .max()
                .orElse(0);
    }

    private int countRight(List<RolloutSimulation.Outcome> outcomes) {
        return (int) outcomes.stream().filter(this::isRight).count();
    }

    private boolean isRight(RolloutSimulation.Outcome outcome) {
        return good ? outcome.isCompleted() : outcome.isRolledBack();
    }
}
