package io.laburnummoor.bench.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Runs one scenario by name and prints its result as one JSON line. */
@Parameters(commandDescription = "Run a bench scenario")
final class ScenarioCommand implements BenchCommand {
    private static final int EXIT_USAGE = 2;

    private static final Map<String, Scenario> SCENARIOS = new TreeMap<>(Map.ofEntries(
            Map.entry("at-most-once", new AtMostOnceScenario()),
            Map.entry("capacity", new CapacityScenario()),
            Map.entry("config-propagation", new ConfigPropagationScenario()),
            Map.entry("crash-request", new CrashRequestScenario()),
            Map.entry("drain", new DrainScenario()),
            Map.entry("exchange", new ExchangeScenario()),
            Map.entry("kv-outage", new KvOutageScenario()),
            Map.entry("overload", new OverloadScenario()),
            Map.entry("placement", new PlacementScenario()),
            Map.entry("racing-operators", new RacingOperatorsScenario()),
            Map.entry("resume", new ResumeScenario()),
            Map.entry("rollout-bad", new RolloutScenario(false)),
            Map.entry("rollout-good", new RolloutScenario(true)),
            Map.entry("rollout-live", new RolloutLiveScenario()),
            Map.entry("router-death", new RouterDeathScenario()),
            Map.entry("stale-order", new StaleOrderScenario()),
            Map.entry("waiting-decision", new WaitingDecisionScenario())));

    @Parameter(description = "name of the scenario", required = true)
    private List<String> names = new ArrayList<>();

    @Parameter(names = "--seed", description = "seed of all random choices")
    private long seed = 1;

    @Override
    public int run() throws Exception {
        Scenario scenario = SCENARIOS.get(names.get(0));
        if (scenario == null) {
            System.err.println("unknown scenario " + names.get(0) + ", known: " + SCENARIOS.keySet());
            return EXIT_USAGE;
        }
        ScenarioResult result = scenario.run(seed);
        System.out.println(result.toLine(names.get(0), seed));
        return result.pass() ? 0 : 1;
    }
}
