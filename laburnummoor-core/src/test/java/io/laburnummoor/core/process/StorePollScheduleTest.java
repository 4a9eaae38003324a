package io.laburnummoor.core.process;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Guards against a configuration that gets too old between two calls, which makes a router refuse requests, and against
 * a store that is called without a pause while changes arrive.
 */
final class StorePollScheduleTest {
    /** Time for which a router serves without a confirmation, with a revocation bound of 5 s. */
    private static final long MAX_AGE_MILLIS = 3_850;

    @ParameterizedTest(name = "changes {0}, read {1} ms ago, unsettled {2}")
    @CsvSource({
        "false, 0, false, 1000, 0",
        "true, 0, false, 250, 750",
        "false, 0, true, 250, 350",
        "true, 0, true, 250, 350",
        "false, 400, false, 1000, 500",
        "true, 400, false, 250, 500",
    })
    void theNextCallFollowsTheLastOne(
            boolean changes, long relayedAgeMillis, boolean unsettled, long waitMillis, long pauseMillis) {
        ChangeFeed.Batch last = new ChangeFeed.Batch(
                changes ? List.of(new ChangeFeed.Change("key", "value", 8)) : List.of(), 8, -relayedAgeMillis);

        assertThat(StorePollSchedule.waitMillis(last, unsettled), is(waitMillis));
        assertThat(StorePollSchedule.pauseMillis(last, unsettled), is(pauseMillis));
        long oldest = relayedAgeMillis + pauseMillis + waitMillis;
        assertThat("one call may fail", 2 * oldest, is(lessThanOrEqualTo(MAX_AGE_MILLIS)));
    }
}
