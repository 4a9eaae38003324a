package io.laburnummoor.core.request;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against slow but sound streams that are cut, and against stalled ones that never end. */
final class StreamTimeoutsTest {
    private static final long GAP_TARGET_MILLIS = 700;

    /** Plays events at a constant pace until one comes later than the timeout; returns how many arrived. */
    private static int eventsBeforeStall(StreamTimeouts timeouts, long gapMillis, int events) {
        long now = 0;
        for (int i = 0; i < events; i++) {
            timeouts.recordEvent(now);
            if (gapMillis >= timeouts.stallMillis()) {
                return i + 1;
            }
            now += gapMillis;
        }
        return events;
    }

    @ParameterizedTest(name = "{0} ms between events: {1} attempts abandoned")
    @CsvSource({"30, 0", "300, 0", "340, 0", "500, 1", "650, 1", "1200, 2"})
    void aStreamAtASteadyPaceIsAbandonedOnlyAFewTimes(long gapMillis, int abandoned) {
        StreamTimeouts timeouts = new StreamTimeouts(GAP_TARGET_MILLIS);
        int stalls = 0;
        while (eventsBeforeStall(timeouts, gapMillis, 100) < 100) {
            timeouts.recordStall();
            timeouts.recordAttempt();
            stalls++;
        }
        assertThat(stalls, is(abandoned));
    }

    @ParameterizedTest(name = "gap target {0} ms, pace {1} ms, {2} stalls: {3} ms")
    @CsvSource({
        "700, 30, 0, 350",
        "700, 30, 1, 700",
        "700, 30, 9, 2800",
        "700, 300, 0, 1200",
        "700, 5000, 0, 2800",
        "0, 30, 0, 1000",
        "0, 30, 40, 8000",
    })
    void theStallTimeoutFollowsThePaceUpToABound(long gapTargetMillis, long paceMillis, int stalls, long expected) {
        StreamTimeouts timeouts = new StreamTimeouts(gapTargetMillis);
        for (int i = 0; i < 200; i++) {
            timeouts.recordEvent(i * paceMillis);
        }
        for (int i = 0; i < stalls; i++) {
            timeouts.recordStall();
        }
        assertThat(timeouts.stallMillis(), is(expected));
    }

    @ParameterizedTest(name = "a resumption after {0} ms does not change the pace")
    @CsvSource({"400", "6000"})
    void theTimeBetweenTwoAttemptsIsNoGap(long resumptionMillis) {
        StreamTimeouts timeouts = new StreamTimeouts(GAP_TARGET_MILLIS);
        timeouts.recordEvent(0);
        timeouts.recordEvent(30);
        timeouts.recordAttempt();
        timeouts.recordEvent(30 + resumptionMillis);
        assertThat(timeouts.stallMillis(), is(GAP_TARGET_MILLIS / 2));
    }

    /** Large prompts on a slow engine took over 2.7 s, were abandoned at that age and became late on another engine. */
    @ParameterizedTest(name = "expected prefill {0} ms, real one {1} ms")
    @CsvSource({"1100, 1800", "2000, 2800", "2200, 3400", "3300, 4400"})
    void aPromptThatIsStillBeingPrefilledIsNotAbandoned(long expectedMillis, long realMillis) {
        assertThat(new StreamTimeouts(GAP_TARGET_MILLIS).firstEventMillis(expectedMillis) > realMillis, is(true));
    }
}
