package io.laburnummoor.core.connection;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Guards against upstreams that are ejected for too long or too short, against estimates from stale reports, and
 * against tokens that stay counted after their request has ended.
 */
final class InstanceStateTest {
    private final InstanceState state = new InstanceState(
            new UpstreamInstance("i-1", "drafter", "sapporo", "10.0.0.1", 80, "v1", 24, false, 0, 1, 1));

    @ParameterizedTest(name = "{0} failures eject for {1} ms")
    @CsvSource({"1, 400", "2, 800", "3, 1600", "4, 3200", "9, 3200"})
    void ejectionDoublesWithEachFailure(int failures, long ejectionMillis) {
        for (int i = 0; i < failures; i++) {
            state.recordFailure(1_000);
        }
        assertThat(state.isEjected(1_000 + ejectionMillis - 1), is(true));
        assertThat(state.isEjected(1_000 + ejectionMillis), is(false));

        state.recordSuccess();

        assertThat(state.isEjected(1_001), is(false));
    }

    @ParameterizedTest(name = "report of {0} running requests after {1} ms")
    @CsvSource({"5, 0, 6", "5, 1500, 6", "5, 1501, 2", "0, 0, 2"})
    void staleReportedLoadIsIgnored(int running, long ageMillis, int expected) {
        state.requestStarted(100);
        state.recordReportedLoad(new ReportedLoad(running, 0), 1_000);
        state.requestStarted(100);

        assertThat(state.estimatedLoad(1_000 + ageMillis), is(expected));
    }

    /** Guards against requests for an upstream that said it leaves while the platform's list still has it as ready. */
    @ParameterizedTest(name = "then {0}")
    @ValueSource(strings = {"nothing", "listed as ready", "its end is revoked", "answers a request"})
    void anAnnouncementToLeaveHoldsForTheIncarnation(String later) {
        assertThat(state.recordLeaving(), is(true));
        switch (later) {
            case "listed as ready" -> state.update(state.instance());
            case "its end is revoked" -> state.clearEnded();
            case "answers a request" -> state.recordSuccess();
            default -> {}
        }

        assertThat(state.isInService(1_000), is(false));
        assertThat(state.recordLeaving(), is(false));
    }

    /** Guards against requests within a pause that the upstream asked for; a shorter later pause does not end it. */
    @ParameterizedTest(name = "pauses of {0} and {1} ms, {2} ms later")
    @CsvSource({"500, 500, 499, false", "500, 500, 500, true", "900, 100, 899, false", "100, 900, 899, false"})
    void aPauseThatTheUpstreamAskedForIsKept(long first, long second, long laterMillis, boolean accepts) {
        state.holdOffUntil(1_000 + first);
        state.holdOffUntil(1_000 + second);
        state.recordSuccess();

        assertThat(state.acceptsRequests(1_000 + laterMillis), is(accepts));
        assertThat(state.isInService(1_000), is(true));
    }

    @ParameterizedTest(name = "prompt of {0} tokens")
    @CsvSource({"1", "8000"})
    void endedRequestReleasesItsTokens(long tokens) {
        state.requestStarted(tokens);
        assertThat(state.prefillTokens(), is(tokens));

        state.prefillEnded(tokens);
        state.requestEnded(tokens);

        assertThat(state.prefillTokens(), is(0L));
        assertThat(state.kvCacheTokens(), is(0L));
        assertThat(state.inFlightCount(), is(0));
    }
}
