package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/**
 * Guards against answers with missing tokens, repeated tokens or tokens of another generation, and against answers that
 * never end, under any sequence of faults. A longer run: {@code bin/fuzz --seed N --tries M}.
 */
final class AnswerFuzzTest {
    private static final long FAULTS_END_MILLIS = 4_000;
    private static final long END_MILLIS = 200_000;

    enum FaultKind {
        ENGINE_CRASH,
        ENGINE_PAUSE,
        AGENT_CRASH,
        PARTITION,
        ROUTER_CRASH,
        ROUTER_PAUSE,
        CALLER_DROP
    }

    record Fault(FaultKind kind, int target, int atMillis, int durationMillis) {}

    record Scenario(long seed, boolean messagesRepeated, List<Fault> faults) {}

    @Provide
    Arbitrary<Scenario> scenarios() {
        return scenarios(12);
    }

    @Provide
    Arbitrary<Scenario> singleFaults() {
        return scenarios(1).filter(scenario -> !scenario.messagesRepeated());
    }

    private static Arbitrary<Scenario> scenarios(int maxFaults) {
        Arbitrary<Fault> fault = Combinators.combine(
                        Arbitraries.of(FaultKind.values()),
                        Arbitraries.integers().between(0, 11),
                        Arbitraries.integers().between(0, (int) FAULTS_END_MILLIS),
                        Arbitraries.integers().between(1, 3_000))
                .as(Fault::new);
        return Combinators.combine(
                        Arbitraries.longs(),
                        Arbitraries.of(true, false),
                        fault.list().ofMinSize(1).ofMaxSize(maxFaults))
                .as(Scenario::new);
    }

    @Property(tries = 500, seed = "1", shrinking = ShrinkingMode.BOUNDED, edgeCases = EdgeCasesMode.NONE)
    void tokensStayInOrderUnderAnyFaults(@ForAll("scenarios") Scenario scenario) {
        SimulatedCaller caller = run(scenario);
        assertThat(caller.violation, is(nullValue()));
        assertThat(caller.complete || caller.answerLost, is(true));
    }

    @Property(tries = 300, seed = "2", shrinking = ShrinkingMode.BOUNDED, edgeCases = EdgeCasesMode.NONE)
    void answerCompletesDespiteAnySingleFault(@ForAll("singleFaults") Scenario scenario) {
        SimulatedCaller caller = run(scenario);
        assertThat(caller.violation, is(nullValue()));
        assertThat("lost", caller.answerLost, is(false));
        assertThat("complete", caller.complete, is(true));
    }

    @Example
    void longRun() {
        long seed = Long.getLong("fuzz.seed", 3);
        int tries = Integer.getInteger("fuzz.tries", 500);
        List<String> failures = new ArrayList<>();
        int[] counts = new int[2];
        scenarios(12).generator(1_000).stream(new Random(seed)).limit(tries).forEach(shrinkable -> {
            SimulatedCaller caller = run(shrinkable.value());
            counts[0] += caller.complete ? 1 : 0;
            counts[1] += caller.answerLost ? 1 : 0;
            if (caller.violation != null || !(caller.complete || caller.answerLost)) {
                failures.add(caller.violation + " with " + caller.receivedCount() + " tokens: " + shrinkable.value());
            }
        });
        System.out.printf(
                "fuzz seed %d: %d tries, %d complete, %d lost, %d failures%n",
                seed, tries, counts[0], counts[1], failures.size());
        assertThat(failures.stream().limit(5).toList(), empty());
    }

    private static SimulatedCaller run(Scenario scenario) {
        SimulatedNetwork network = new SimulatedNetwork(scenario.seed());
        network.messagesRepeated = scenario.messagesRepeated();
        SimulatedCaller caller = new SimulatedCaller(network);
        scenario.faults().forEach(fault -> network.schedule(fault.atMillis(), () -> inject(fault, network, caller)));
        network.schedule(FAULTS_END_MILLIS, () -> network.messagesRepeated = false);
        long atMillis = 0;
        while (!caller.complete && !caller.answerLost && atMillis < END_MILLIS) {
            atMillis += 1_000;
            network.runUntil(atMillis);
        }
        return caller;
    }

    private static void inject(Fault fault, SimulatedNetwork network, SimulatedCaller caller) {
        int target = fault.target();
        int durationMillis = fault.durationMillis();
        switch (fault.kind()) {
            case ENGINE_CRASH -> network.crashEngine(target % SimulatedNetwork.ENGINES, durationMillis);
            case ENGINE_PAUSE -> network.pauseEngine(target % SimulatedNetwork.ENGINES, durationMillis);
            case AGENT_CRASH -> network.crashAgent(target % SimulatedNetwork.AGENTS, durationMillis);
            case PARTITION -> {
                String router = "router" + target % SimulatedCaller.ROUTERS;
                int agent = target % SimulatedNetwork.AGENTS;
                network.setPartitioned(router, agent, true);
                network.schedule(durationMillis, () -> network.setPartitioned(router, agent, false));
            }
            case ROUTER_CRASH -> caller.crashRouter(target % SimulatedCaller.ROUTERS, durationMillis);
            case ROUTER_PAUSE -> caller.pauseRouter(target % SimulatedCaller.ROUTERS, durationMillis);
            case CALLER_DROP -> caller.dropConnection();
            default -> throw new IllegalArgumentException("unknown fault " + fault.kind());
        }
    }
}
