package io.laburnummoor.bench.process;

/** One bench scenario: brings about a failure, measures, and checks a bound that the users have stated. */
interface Scenario {
    /** Runs the scenario. */
    ScenarioResult run(long seed) throws Exception;
}
