package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.laburnummoor.core.connection.CrashRecord;
import io.laburnummoor.core.connection.Upstream;
import io.laburnummoor.core.connection.UpstreamReport;
import io.laburnummoor.core.connection.UpstreamState;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/** Guards against blocking innocent requests, and against harmful requests that keep crashing upstreams. */
class QuarantineTest {
    private static final List<String> DOMAINS = List.of("sapporo", "asahikawa", "niseko");
    private static final int UPSTREAMS_PER_DOMAIN = 4;
    private static final long HEARTBEAT_MILLIS = 500;

    private final RoutingTable routing = new RoutingTable();
    private final Map<String, Long> incarnations = new HashMap<>();
    private long nowMillis = 100_000;
    private final Quarantine quarantine = new Quarantine(routing, () -> nowMillis, () -> nowMillis);
    private final Quarantine otherRouter = new Quarantine(routing, () -> nowMillis, () -> nowMillis);

    QuarantineTest() {
        List<Upstream> upstreams = new ArrayList<>();
        for (String domain : DOMAINS) {
            for (int i = 0; i < UPSTREAMS_PER_DOMAIN; i++) {
                upstreams.add(new Upstream(domain + "-" + i, "drafter", domain, "127.0.0.1", 1, 1, false));
            }
        }
        routing.replace(upstreams);
        upstreams.forEach(each -> incarnations.put(each.id(), 1L));
        advance(HEARTBEAT_MILLIS);
    }

    /**
     * Guards against blocking innocent requests. Assumes that a request that needs isolation runs alone, that an
     * innocent one that runs alone completes, and that engines crash by the harmful request or as a whole domain at
     * once.
     */
    @Property(seed = "20261204", tries = 60)
    void neverBlocksAnInnocentRequest(@ForAll @Size(min = 10, max = 60) List<Integer> actions) {
        new QuarantineTest().runActions(actions);
    }

    private void runActions(List<Integer> actions) {
        int harmfulCrashes = 0;
        for (int action : actions) {
            int choice = Math.abs(action % 1_000_003);
            if (choice % 4 == 0) {
                loseDomain(DOMAINS.get(choice % 3), choice);
            } else if (!quarantine.isBlocked("harmful")) {
                harmfulCrashes++;
                crashByHarmful(choice);
            }
            advance(Quarantine.DECISION_DELAY_MILLIS + 2 * HEARTBEAT_MILLIS);
            for (int innocent = 0; innocent < 5; innocent++) {
                String fingerprint = "innocent-" + innocent;
                if (quarantine.needsIsolation(fingerprint)) {
                    quarantine.recordIsolatedSuccess(fingerprint);
                }
                assertThat(quarantine.isBlocked(fingerprint), is(false));
            }
            otherRouter.tick();
            otherRouter.merge(quarantine.latest(16));
            assertThat(otherRouter.isBlocked("harmful"), is(quarantine.isBlocked("harmful")));
        }
        if (harmfulCrashes > UPSTREAMS_PER_DOMAIN * DOMAINS.size()) {
            assertThat(quarantine.isBlocked("harmful"), is(true));
        }
    }

    /** Guards against merges whose result depends on the order of messages between routers. */
    @Property(seed = "20261204", tries = 200)
    void mergesInAnyOrder(@ForAll @Size(min = 1, max = 12) List<Integer> events) {
        CrashSuspect forward = CrashSuspect.withoutCrashes("f");
        CrashSuspect backward = CrashSuspect.withoutCrashes("f");
        List<CrashSuspect> parts = events.stream().map(QuarantineTest::part).toList();
        for (int i = 0; i < parts.size(); i++) {
            forward = forward.merge(parts.get(i));
            backward = backward.merge(parts.get(parts.size() - 1 - i)).merge(parts.get(parts.size() - 1 - i));
        }
        assertThat(Set.copyOf(forward.crashes()), equalTo(Set.copyOf(backward.crashes())));
        assertThat(forward.clearedAtMillis(), equalTo(backward.clearedAtMillis()));
    }

    /** Guards against lost connections that count as crashes although the upstream's process is still running. */
    @ParameterizedTest
    @CsvSource({"restarted, 1", "dead, 1", "alive, 0", "agent-silent, 0"})
    void countsALossOnlyIfTheAgentConfirmsIt(String after, int expected) {
        Upstream upstream = state("sapporo-0").upstream();
        quarantine.recordLoss("f", upstream, 1, false);
        if (after.equals("restarted")) {
            incarnations.put("sapporo-0", 2L);
        } else if (after.equals("dead")) {
            incarnations.put("sapporo-0", 0L);
        } else if (after.equals("agent-silent")) {
            incarnations.remove("sapporo-0");
        }
        advance(Quarantine.DECISION_DELAY_MILLIS + HEARTBEAT_MILLIS);
        assertThat(quarantine.latest(9).size(), is(expected));
    }

    /** Guards against a harmful request that is never blocked because no upstream can be kept free for it. */
    @Test
    void blocksAfterSixCrashesWithoutIsolation() {
        for (int i = 0; i < CrashSuspect.BLOCKING_CRASHES_UNISOLATED; i++) {
            assertThat(quarantine.isBlocked("f"), is(false));
            crash(DOMAINS.get(i % 3) + "-" + i / 3, Set.of("f"), false);
            advance(Quarantine.DECISION_DELAY_MILLIS + HEARTBEAT_MILLIS);
        }
        assertThat(quarantine.isBlocked("f"), is(true));
    }

    private static CrashSuspect part(int event) {
        int choice = Math.abs(event % 10_007);
        if (choice % 5 == 0) {
            return new CrashSuspect("f", List.of(), choice % 50, 1_000);
        }
        return new CrashSuspect(
                "f", List.of(new CrashRecord("u" + choice % 4, choice % 97, choice % 2 == 0)), 0, 1_000);
    }

    private void crashByHarmful(int choice) {
        boolean alone = quarantine.needsIsolation("harmful");
        String upstream = DOMAINS.get(choice % 3) + "-" + choice / 3 % UPSTREAMS_PER_DOMAIN;
        crash(upstream, alone ? Set.of("harmful") : Set.of("harmful", "innocent-" + choice % 5), alone);
    }

    private void loseDomain(String domain, int choice) {
        for (int i = 0; i < UPSTREAMS_PER_DOMAIN; i++) {
            crash(domain + "-" + i, new HashSet<>(List.of("innocent-" + (choice + i) % 5, "harmful")), false);
            nowMillis += choice % 400;
        }
    }

    private void crash(String upstreamId, Set<String> fingerprints, boolean isolated) {
        long incarnation = incarnations.getOrDefault(upstreamId, 1L);
        fingerprints.forEach(
                each -> quarantine.recordLoss(each, state(upstreamId).upstream(), incarnation, isolated));
        incarnations.put(upstreamId, incarnation + 1);
    }

    private UpstreamState state(String id) {
        return java.util.Objects.requireNonNull(routing.snapshot().find(id));
    }

    private void advance(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; ) {
            nowMillis += HEARTBEAT_MILLIS;
            incarnations.forEach((id, incarnation) -> state(id)
                    .recordHeartbeat(
                            new UpstreamReport(1, incarnation > 0, incarnation, false, 0, 0, "v1", List.of()),
                            nowMillis));
            quarantine.tick();
        }
    }
}
