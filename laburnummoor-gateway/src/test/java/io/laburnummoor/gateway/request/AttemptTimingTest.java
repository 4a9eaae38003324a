package io.laburnummoor.gateway.request;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.process.ExpectedTime;
import io.laburnummoor.core.process.PeerLoads;
import io.laburnummoor.core.process.RequestWork;
import io.laburnummoor.core.version.ForwardService;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

/**
 * Guards against an expected time that is learned from runs without a prefill: with runs that resumed from a backup, it
 * fell to a few milliseconds, and sound attempts were given up after 600 ms.
 */
final class AttemptTimingTest {
    private static final long PROMPT_TOKENS = 8_000;
    private static final ForwardService DRAFTER = new ForwardService("drafter", 210, true, 24, 88_000, true);
    private static final RequestWork WORK = new RequestWork(PROMPT_TOKENS, 980, 4_500, 0, 0.5);

    private final ExpectedTime expectedTime = new ExpectedTime(new PeerLoads());
    private final InstanceState engine = new InstanceState(
            new UpstreamInstance("e-1", "drafter", "sapporo", "10.0.0.1", 80, "v1", 24, false, 0, 1, 1));

    @ParameterizedTest(name = "{0} runs, prefill {1}, first event after {2} ms: expected {3} ms")
    @CsvSource({"60, false, 20, 1600", "60, true, 1000, 1000", "0, true, 0, 1600"})
    void onlyRunsThatPrefillTheirPromptAreMeasured(
            int runs, boolean prefillsPrompt, long firstEventMillis, double expectedMillis) {
        long now = 100_000;
        for (int i = 0; i < runs; i++) {
            AttemptTiming timing =
                    new AttemptTiming(expectedTime, engine, estimateAt(now), PROMPT_TOKENS, 0, prefillsPrompt, now);
            now += firstEventMillis;
            timing.firstEvent(now);
        }

        assertThat(estimateAt(now).firstEventMillis(), closeTo(expectedMillis, expectedMillis / 20));
    }

    private ExpectedTime.Estimate estimateAt(long nowMillis) {
        return expectedTime.of(engine, DRAFTER, WORK, nowMillis);
    }
}
