package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedLoad;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.version.ForwardService;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Long and short prompts on the same engines. Guards against short prompts that wait behind long ones although other
 * engines are free, against long ones that wait for each other beyond their goal, and against engines that stay
 * reserved for long prompts.
 */
final class LongPromptsTest {
    private static final long NOW = 100_000;
    private static final double[] MIXED = {1.0, 1.0, 1.3};
    private static final ForwardService SERVICE = new ForwardService("s", 310, true, 12, 88_000, false);
    private static final int ENGINES = 6;
    private static final int DRAWS = 40;

    private final PeerLoads peers = new PeerLoads();
    private final InstanceSelector selector =
            new InstanceSelector("router-1", "domain", new DomainOutageDetector(), peers, new OrderedRollouts());
    private final List<InstanceState> engines = new ArrayList<>();

    LongPromptsTest() {
        for (int i = 0; i < ENGINES; i++) {
            InstanceState state = new InstanceState(
                    new UpstreamInstance("e-" + i, "s", "domain", "10.0.0.1", 80, "v1", 12, false, 0, 1, 1));
            state.recordReportedLoad(new ReportedLoad(0, 0, 12, 100), NOW);
            for (int j = 0; j < 3; j++) {
                state.pace().recordMeasured(1, NOW);
            }
            engines.add(state);
        }
        // The mean of the service.
        selector.expectedTime().recordPrompt("s", 8_000);
    }

    private Set<String> selected(long promptTokens, long goalMillis, long elapsedMillis, boolean afterLoss) {
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < DRAWS; i++) {
            RequestWork work = new RequestWork(promptTokens, 980, goalMillis, elapsedMillis, i / (double) DRAWS);
            InstanceSelector.Criteria criteria =
                    new InstanceSelector.Criteria(SERVICE, Set.of(), List.of(), 0.5, afterLoss, work);
            ids.add(idOf(selector.select(new InstanceTable(engines), criteria, NOW)));
        }
        return ids;
    }

    private static String idOf(@Nullable InstanceState selected) {
        return selected == null ? "none" : selected.instance().id();
    }

    /** At the initial rate of 5 tokens per ms, a prompt of 12,000 tokens behind another one takes 4.8 s. */
    @ParameterizedTest(name = "prompt of {0} tokens, goal {1} ms, {2} ms passed, after a loss {3}: together {4}")
    @CsvSource({
        "12000, 10013, 0, false, true",
        "12000, 10013, 1500, false, false",
        "12000, 4013, 0, false, false",
        "12000, 0, 0, false, false",
        "12000, 10013, 0, true, false",
        "8000, 10013, 0, false, false",
        "500, 10013, 0, false, false"
    })
    void longPromptsArePlacedTogetherWithinHalfOfTheirGoal(
            long promptTokens, long goalMillis, long elapsedMillis, boolean afterLoss, boolean together) {
        engines.get(2).requestStarted(12_000);
        engines.get(2).addLongPrefillTokens(12_000);

        Set<String> ids = selected(promptTokens, goalMillis, elapsedMillis, afterLoss);

        assertThat(ids.contains("e-2"), is(together));
        assertThat(ids.size() == 1, is(together));
    }

    /** Guards against two long prompts on an engine that may be slow: its speed is known after some measurements. */
    @ParameterizedTest(name = "{0} measurements: together {1}")
    @CsvSource({"0, false", "2, false", "3, true"})
    void anEngineOfUnknownSpeedTakesNoSecondLongPrompt(int measurements, boolean together) {
        InstanceState unknown = new InstanceState(engines.get(2).instance());
        unknown.recordReportedLoad(new ReportedLoad(0, 0, 12, 100), NOW);
        unknown.requestStarted(12_000);
        unknown.addLongPrefillTokens(12_000);
        for (int i = 0; i < measurements; i++) {
            unknown.pace().recordMeasured(1, NOW);
        }
        engines.set(2, unknown);

        assertThat(selected(12_000, 10_013, 0, false).contains("e-2"), is(together));
    }

    /** Guards against engines that stay reserved after the prefill, and against unknown prompts of other routers. */
    @ParameterizedTest(name = "long prompt of this router {0}, its prefill has ended {1}: together {2}")
    @CsvSource({"true, false, true", "false, false, true", "true, true, false", "false, true, false"})
    void theLoadAloneDeterminesTheEngines(boolean own, boolean ended, boolean together) {
        if (own) {
            engines.get(2).requestStarted(12_000);
            engines.get(2).addLongPrefillTokens(12_000);
        } else {
            report(1, new UpstreamLoad(1, 12_000, 12_000, 12_000));
        }
        if (ended && own) {
            engines.get(2).prefillEnded(12_000);
            engines.get(2).addLongPrefillTokens(-12_000);
        } else if (ended) {
            report(2, new UpstreamLoad(1, 0, 12_000, 0));
        }

        assertThat(selected(12_000, 10_013, 0, false).equals(Set.of("e-2")), is(together));
    }

    private void report(long sequence, UpstreamLoad load) {
        peers.record(
                new RouterLoad("router-2", 1, sequence, Map.of(), List.of(), List.of(), List.of(), Map.of("e-2", load)),
                NOW);
    }

    /** Half of the prompts' tokens belong to long ones; goals as those of customer A's urgent and other streams. */
    @ParameterizedTest(name = "{0} engines, {1} streams/s, {2} long, goal {3} ms")
    @CsvSource({
        "74, 60, 0.125, 4013",
        "74, 60, 0.125, 10013",
        "30, 30, 0.125, 10013",
        "74, 40, 0.3, 10013",
        "74, 110, 0.125, 10013"
    })
    void bothKindsMeetTheirGoals(int engineCount, double perSecond, double longShare, long goalMillis) {
        List<PlacementSimulation.Request> byTime = play(engineCount, perSecond, longShare, goalMillis, true);
        List<PlacementSimulation.Request> byNumber = play(engineCount, perSecond, longShare, goalMillis, false);

        assertThat(lateShare(byTime, goalMillis), is(lessThan(0.01)));
        assertThat(mean(byTime, each -> !each.isLong()), is(lessThan(mean(byNumber, each -> !each.isLong()))));
    }

    private static List<PlacementSimulation.Request> play(
            int engineCount, double perSecond, double longShare, long goalMillis, boolean reportsPace) {
        PlacementSimulation.Site site = new PlacementSimulation.Site(
                true, engineCount, 64, MIXED, 20, perSecond, 0, false, goalMillis, longShare, reportsPace, true);
        return new PlacementSimulation(site, 3).run(60_000, 15_000);
    }

    private static double mean(
            List<PlacementSimulation.Request> requests, Predicate<PlacementSimulation.Request> kind) {
        return requests.stream()
                .filter(kind)
                .mapToLong(PlacementSimulation.Request::millis)
                .average()
                .orElseThrow();
    }

    private static double lateShare(List<PlacementSimulation.Request> requests, long goalMillis) {
        double late =
                requests.stream().filter(each -> each.millis() > goalMillis).count();
        return late / requests.size();
    }
}
