package io.laburnummoor.core.process;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedLoad;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.request.PromptPart;
import io.laburnummoor.core.version.ForwardService;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

/**
 * Guards against requests for upstreams that ended, failed or are busy, and against KV-cache backups in the primary's
 * failure domain.
 */
final class InstanceSelectorTest {
    private static final long NOW = 100_000;
    private static final ForwardService DRAFTER = new ForwardService("drafter", 210, true, 24, 88_000, true);

    private static final InstanceSelector.Criteria CRITERIA =
            new InstanceSelector.Criteria(DRAFTER, Set.of(), List.of(), 0.5, false);

    private final DomainOutageDetector domainOutages = new DomainOutageDetector();
    private final PeerLoads peerLoads = new PeerLoads();
    private final InstanceState sapporo = state("s-1", "sapporo", false);
    private final InstanceState asahikawa = state("a-1", "asahikawa", false);
    private final InstanceTable table = new InstanceTable(List.of(sapporo, asahikawa));
    private final InstanceSelector selector =
            new InstanceSelector("router-1", "niseko", domainOutages, peerLoads, new OrderedRollouts());

    private static InstanceState state(String id, String domain, boolean leaving) {
        return new InstanceState(
                new UpstreamInstance(id, "drafter", domain, "10.0.0.1", 80, "v1", 24, leaving, 0, 1, 1));
    }

    static Stream<Arguments> handicaps() {
        return Stream.of(
                handicap("ejected", state -> state.recordFailure(NOW)),
                handicap("full", state -> state.recordFull(NOW)),
                handicap("ended", state -> state.markEnded(NOW)),
                handicap("leaves", state -> state.recordLeaving()),
                handicap("wants no requests", state -> state.holdOffUntil(NOW + 1)),
                handicap("has prompts to prefill", state -> state.requestStarted(8_000)),
                handicap("told load", state -> state.recordReportedLoad(new ReportedLoad(6, 2), NOW)),
                handicap("told errors", state -> {
                    state.recordError();
                    state.recordError();
                }));
    }

    private static Arguments handicap(String name, Consumer<InstanceState> change) {
        return Arguments.of(name, change);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("handicaps")
    void theOtherUpstreamIsSelected(String name, Consumer<InstanceState> change) {
        change.accept(asahikawa);
        assertThat(selector.select(table, CRITERIA, NOW), is(sapporo));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("handicaps")
    void theHandicapMattersForEitherUpstream(String name, Consumer<InstanceState> change) {
        change.accept(sapporo);
        assertThat(selector.select(table, CRITERIA, NOW), is(asahikawa));
    }

    @ParameterizedTest
    @ValueSource(strings = {"sapporo", "asahikawa"})
    void aSuspectDomainIsAvoided(String domain) {
        domainOutages.record("drafter", domain, "x-1", NOW - 10);
        domainOutages.record("drafter", domain, "x-2", NOW);

        InstanceState selected = selector.select(table, CRITERIA, NOW);

        assertThat(selected, is(notNullValue()));
        assertThat(selected == null ? "" : selected.instance().failureDomain(), is(not(domain)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"drafter", "gatedesk"})
    void nothingIsSelectedWhenAllAreExcluded(String service) {
        ForwardService named = new ForwardService(service, 210, true, 24, 88_000, true);
        assertThat(
                selector.select(
                        table, new InstanceSelector.Criteria(named, Set.of("s-1", "a-1"), List.of(), 0.5, false), NOW),
                is(nullValue()));
    }

    /** Guards against callers that return before an upstream accepts requests, or much later. */
    @ParameterizedTest(name = "pauses of {0} and {1} ms")
    @CsvSource({"700, 300, 300", "700, 0, 0", "0, 0, 0"})
    void callersReturnWhenTheFirstPauseEnds(long sapporoMillis, long asahikawaMillis, long expected) {
        sapporo.holdOffUntil(NOW + sapporoMillis);
        asahikawa.holdOffUntil(NOW + asahikawaMillis);

        assertThat(table.millisUntilAccepting("drafter", NOW), is(expected));
        assertThat(selector.select(table, CRITERIA, NOW) == null, is(expected > 0));
        assertThat(table.millisUntilAccepting("gatedesk", NOW), is(0L));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 9})
    void ejectedUpstreamsAreTheLastResort(int failures) {
        for (int i = 0; i < failures; i++) {
            sapporo.recordFailure(NOW);
            asahikawa.recordFailure(NOW);
        }

        assertThat(selector.select(table, CRITERIA, NOW), is(notNullValue()));
        assertThat(selector.selectBackup(table, DRAFTER, sapporo.instance(), 1_000, NOW), is(nullValue()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000, 8_000})
    void theBackupIsPlacedInAnotherDomainWithCapacity(long tokens) {
        assertThat(selector.selectBackup(table, DRAFTER, sapporo.instance(), tokens, NOW), is(asahikawa));

        asahikawa.addBackupTokens(88_000);

        assertThat(selector.selectBackup(table, DRAFTER, sapporo.instance(), tokens, NOW), is(nullValue()));
    }

    static Stream<Arguments> cachedPrefixes() {
        return Stream.of(
                Arguments.of("whole prompt", Set.of("m/shared", "m/own"), 2, NOW, true),
                Arguments.of("own part without the one before it", Set.of("m/own"), 2, NOW, false),
                Arguments.of("whole prompt on a busy upstream", Set.of("m/shared", "m/own"), 6, NOW, false),
                Arguments.of("told long ago", Set.of("m/shared", "m/own"), 2, NOW - 60_000, false));
    }

    /** A cached prefix is worth some waiting, because another prefill of it delays all generations of the engine. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("cachedPrefixes")
    void anUpstreamWithACachedPrefixIsPreferred(
            String name, Set<String> cached, int running, long reportedAtMillis, boolean preferred) {
        List<PromptPart> prompt = List.of(new PromptPart("m/shared", 200), new PromptPart("m/own", 8_000));
        sapporo.recordReportedLoad(new ReportedLoad(running, 0), NOW);
        sapporo.recordPrefixCache(cached, reportedAtMillis);

        InstanceState selected =
                selector.select(table, new InstanceSelector.Criteria(DRAFTER, Set.of(), prompt, 0.5, false), NOW);

        assertThat(selected, is(preferred ? sapporo : asahikawa));
    }
}
