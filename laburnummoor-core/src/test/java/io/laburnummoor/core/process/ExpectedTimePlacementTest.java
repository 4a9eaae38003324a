package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedLoad;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.version.ForwardService;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

/**
 * Guards against routers that all send their requests to the same fastest upstream, against slow or loaded upstreams
 * that are preferred, and against the expected time where the configuration and the upstreams do not call for it.
 */
final class ExpectedTimePlacementTest {
    private static final long NOW = 100_000;
    private static final ForwardService ENGINES = new ForwardService("s", 310, true, 12, 88_000, false);
    private static final ForwardService CALLS = new ForwardService("s", 310, false, 0, 0, false);

    private final PeerLoads peerLoads = new PeerLoads();

    private static InstanceState state(String id, int slots) {
        return new InstanceState(new UpstreamInstance(id, "s", "domain", "10.0.0.1", 80, "v1", slots, false, 0, 1, 1));
    }

    private InstanceSelector selector(String router) {
        return new InstanceSelector(router, "domain", new DomainOutageDetector(), peerLoads, new OrderedRollouts());
    }

    private static InstanceSelector.Criteria criteria(
            ForwardService service, Set<String> excluded, boolean afterLoss, double draw) {
        RequestWork work =
                service.isEngine() ? new RequestWork(8_200, 980, 4_013, 0, draw) : new RequestWork(0, 0, 147, 0, draw);
        return new InstanceSelector.Criteria(service, excluded, List.of(), 0.5, afterLoss, work);
    }

    private static List<InstanceState> reporting(int count, int slots, int fastestPercent) {
        List<InstanceState> states = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            InstanceState state = state("u-" + i, slots);
            state.recordReportedLoad(new ReportedLoad(1, 0, slots, i == 0 ? fastestPercent : 100), NOW);
            states.add(state);
        }
        return states;
    }

    /** 20 to 30 routers select in the same millisecond, from the same reports. */
    @ParameterizedTest(name = "{0} routers, {1} upstreams, the fastest at {2} %, engines {3}, after a loss {4}")
    @CsvSource({
        "21, 3, 80, false, false, 15",
        "29, 4, 80, false, false, 18",
        "21, 56, 90, true, false, 5",
        "29, 74, 90, true, false, 5",
        "21, 56, 62, true, true, 4",
        "30, 74, 50, true, true, 4"
    })
    void theFastestUpstreamDoesNotGetAllRequestsOfAMoment(
            int routers, int upstreams, int fastestPercent, boolean engines, boolean afterLoss, int most) {
        Random random = new Random(5);
        int rounds = 400;
        InstanceTable table = new InstanceTable(reporting(upstreams, engines ? 12 : 6, fastestPercent));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < rounds * routers; i++) {
            InstanceState selected = selector("router-" + i % routers)
                    .select(table, criteria(engines ? ENGINES : CALLS, Set.of(), afterLoss, random.nextDouble()), NOW);
            counts.merge(idOf(selected), 1, Integer::sum);
        }

        assertThat(counts.getOrDefault("u-0", 0) / (double) rounds, is(lessThanOrEqualTo((double) most)));
        double mean = (double) rounds * routers / upstreams;
        assertThat((double) counts.getOrDefault("u-0", 0), is(greaterThan(1.1 * mean)));
    }

    private static String idOf(@Nullable InstanceState selected) {
        return selected == null ? "none" : selected.instance().id();
    }

    static Stream<Arguments> handicaps() {
        return Stream.of(
                handicap("slow", state -> state.recordReportedLoad(new ReportedLoad(0, 0, 12, 250), NOW)),
                handicap("measured as slow", state -> {
                    for (int i = 0; i < 9; i++) {
                        state.pace().recordMeasured(3, NOW);
                    }
                }),
                handicap("prompts ahead", state -> state.requestStarted(9_000)),
                handicap("queue", state -> state.recordReportedLoad(new ReportedLoad(12, 3, 12, 100), NOW)),
                handicap("fewer slots by its report", state -> {
                    state.recordReportedLoad(new ReportedLoad(4, 0, 4, 100), NOW);
                }),
                handicap("KV cache is full", state -> state.addBackupTokens(84_000)),
                handicap("ejected", state -> state.recordFailure(NOW)),
                handicap("full", state -> state.recordFull(NOW)),
                handicap("pauses", state -> state.holdOffUntil(NOW + 1)));
    }

    private static Arguments handicap(String name, Consumer<InstanceState> change) {
        return Arguments.of(name, change);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("handicaps")
    void anUpstreamWithALongerExpectedTimeIsAvoided(String name, Consumer<InstanceState> change) {
        for (int i = 0; i < 20; i++) {
            List<InstanceState> states = reporting(2, 12, 100);
            change.accept(states.get(i % 2));
            InstanceState selected = selector("router")
                    .select(new InstanceTable(states), criteria(ENGINES, Set.of(), false, i / 20.0), NOW);

            assertThat(idOf(selected), is("u-" + (1 - i % 2)));
        }
    }

    /** Guards against a policy that the service does not call for: without it, the draw must not matter. */
    @ParameterizedTest(name = "pace reported {0}: expected time {1}")
    @CsvSource({"false, false", "true, true"})
    void theExpectedTimeDecidesWhereAReportCallsForIt(boolean reported, boolean byTime) {
        List<InstanceState> states = reporting(8, 12, 100);
        if (!reported) {
            states.replaceAll(each -> state(each.instance().id(), 12));
        }
        Set<String> selected = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            selected.add(idOf(selector("router")
                    .select(new InstanceTable(states), criteria(ENGINES, Set.of(), false, i / 100.0), NOW)));
        }

        assertThat(selected.size() > 1, is(byTime));
    }

    /**
     * Two routers select in the same millisecond, and only one place is left. The engine refuses the second request as
     * not run; guards against a router that selects the same engine again.
     */
    @ParameterizedTest(name = "{0} engines")
    @ValueSource(ints = {2, 30})
    void theSelectionGoesOnAfterARefusal(int engines) {
        List<InstanceState> states = reporting(engines, 12, 100);
        String first = idOf(
                selector("router-2").select(new InstanceTable(states), criteria(ENGINES, Set.of(), false, 0.3), NOW));
        states.stream().filter(each -> first.equals(each.instance().id())).forEach(each -> each.recordFull(NOW));

        for (int i = 0; i < 50; i++) {
            double draw = i / 50.0;
            InstanceTable table = new InstanceTable(states);
            assertThat(
                    idOf(selector("router-2").select(table, criteria(ENGINES, Set.of(first), true, draw), NOW)),
                    is(not(first)));
            assertThat(
                    idOf(selector("router-2").select(table, criteria(ENGINES, Set.of(), false, draw), NOW + 9)),
                    is(not(first)));
        }
    }

    /** Guards against loads that stay counted or are missed when a datagram is lost, or its router has failed. */
    @ParameterizedTest(name = "messages {0} of 4 arrive, {1} ms later: {2} requests")
    @CsvSource({"1 2 3 4, 0, 0", "1 2 4, 0, 0", "1 4, 0, 0", "1 2, 0, 2", "1 2, 2500, 2", "1 2, 2501, 0", "4 1, 0, 0"})
    void aLostDatagramIsCompensatedByTheNextOne(String arriving, long laterMillis, int requests) {
        CapacityLedger ledger = new CapacityLedger(peerLoads);
        InstanceState engine = state("u-0", 12);
        int[] inFlight = {1, 2, 1, 0};
        for (String each : arriving.split(" ")) {
            int sequence = Integer.parseInt(each);
            int count = inFlight[sequence - 1];
            Map<String, UpstreamLoad> loads =
                    count == 0 ? Map.of() : Map.of("u-0", new UpstreamLoad(count, count * 9_000L, count * 9_180L));
            peerLoads.record(new RouterLoad("r-2", 1, sequence, Map.of(), List.of(), List.of(), List.of(), loads), NOW);
        }
        peerLoads.expire(NOW + laterMillis);
        UpstreamCapacity capacity = ledger.of(engine, ENGINES, NOW + laterMillis);

        assertThat(capacity.freeSlots(), is(12 - requests));
        assertThat(capacity.freeKvCacheTokens(), is(88_000 - requests * 9_180L));
        assertThat(capacity.prefillTokens(), is(requests * 9_000L));
        assertThat(capacity.ageMillis(), is(requests == 0 ? -1 : laterMillis));
    }

    /** Guards against requests that wait because of a report that is much older than the calls that it counts. */
    @ParameterizedTest(name = "6 calls reported {0} ms ago")
    @CsvSource({"0, false", "100, true", "1400, true"})
    void anOldReportDoesNotKeepAPlainServiceFull(long ageMillis, boolean room) {
        InstanceState state = state("u-0", 0);
        state.recordReportedLoad(new ReportedLoad(6, 0, 6, 0), NOW);

        assertThat(new CapacityLedger(peerLoads).hasRoom(List.of(state), CALLS, 0, NOW + ageMillis), is(room));
    }

    /** Guards against an upstream that accepts connections but does no work, and is selected again and again. */
    @ParameterizedTest(name = "{0} abandoned attempts")
    @ValueSource(ints = {1, 3})
    void anUpstreamWithoutProgressIsAvoidedForAWhile(int abandoned) {
        InstanceState idle = state("u-0", 12);
        ExpectedTime times = new ExpectedTime(peerLoads);
        RequestWork work = new RequestWork(8_200, 980, 4_013, 0, 0);
        ExpectedTime.Estimate before = times.of(idle, ENGINES, work, NOW);
        for (int i = 0; i < abandoned; i++) {
            times.recordAbandoned(idle, before, 3 * Math.round(before.firstEventMillis()), NOW);
        }

        double after = times.of(idle, ENGINES, work, NOW).firstEventMillis();
        assertThat(after, is(greaterThan(before.firstEventMillis() * 1.3)));
        assertThat(
                times.of(idle, ENGINES, work, NOW + 600_000).firstEventMillis(),
                is(lessThan(before.firstEventMillis() * 1.01)));
    }
}
