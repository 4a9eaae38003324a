package io.laburnummoor.core.connection;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against new work for unavailable upstreams and against concurrency targets that do not follow the load. */
class UpstreamStateTest {
    /**
     * Guards against new work for an upstream that is leaving or failing, whichever source reports it first. Columns:
     * VM list marks it as leaving, a request failed, second heartbeat reports it alive, first heartbeat reports it as
     * leaving, incarnation in the second heartbeat, age of the second heartbeat, expected availability.
     */
    @ParameterizedTest
    @CsvSource({
        "false, false, true,  false, 1, 0,    true",
        "true,  false, true,  false, 1, 0,    false",
        "false, true,  true,  false, 1, 0,    false",
        "false, false, false, false, 1, 0,    false",
        "false, false, true,  true,  1, 0,    false",
        "false, false, true,  true,  2, 0,    true",
        "false, true,  true,  false, 2, 0,    true",
        "false, false, true,  false, 1, 3000, false",
    })
    void isAvailableFollowsLatestEvidence(
            boolean listedLeaving,
            boolean failed,
            boolean alive,
            boolean leavingReported,
            long laterIncarnation,
            long heartbeatAgeMillis,
            boolean available) {
        UpstreamState state =
                new UpstreamState(new Upstream("u", "drafter", "sapporo", "127.0.0.1", 1, 2, listedLeaving));
        state.recordHeartbeat(report(1, true, leavingReported), 1_000);
        if (failed) {
            state.recordFailure(1_000);
        }
        state.recordHeartbeat(report(laterIncarnation, alive, false), 1_100);
        assertThat(state.isAvailable(1_100 + heartbeatAgeMillis), is(available));
    }

    /** Guards against a target that stays too high while requests wait, or too low once it has free capacity. */
    @ParameterizedTest
    @CsvSource({"4, 10, 5", "4, 0, 64", "64, 0, 72", "0, 3, 64"})
    void targetFollowsReportedQueue(int running, int waiting, int expected) {
        ConcurrencyTarget target = new ConcurrencyTarget();
        target.record(running, waiting);
        assertThat(target.get(), is(expected));
    }

    /** Guards against a lower target after one report that fell between the end of a request and the next start. */
    @ParameterizedTest
    @CsvSource({"4, 1, 5", "1, 4, 5", "4, 4, 5"})
    void oneLowReportKeepsTheTarget(int first, int second, int expected) {
        ConcurrencyTarget target = new ConcurrencyTarget();
        target.record(first, 3);
        target.record(second, 3);
        assertThat(target.get(), is(expected));
    }

    private static UpstreamReport report(long incarnation, boolean alive, boolean leaving) {
        return new UpstreamReport(1, alive, incarnation, leaving, 0, 0, "v1", List.of());
    }
}
