package io.laburnummoor.core.connection;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/**
 * Guards against upstreams that are taken for slow long after they were, for usual while they are slow, and against
 * reports that arrive through another router in the wrong order.
 */
final class UpstreamPaceTest {
    private static final long NOW = 100_000;

    private final UpstreamPace pace = new UpstreamPace();

    @ParameterizedTest(name = "250 % reported {0} ms ago: {1}")
    @CsvSource({"0, 2.5", "250, 1.74", "600, 1.41", "5000, 1.3"})
    void aReportGivesWayToTheAverage(long ageMillis, double expected) {
        pace.recordReport(250, NOW);

        assertThat(pace.expected(NOW + ageMillis), is(closeTo(expected, 0.01)));
        assertThat(pace.reportAgeMillis(NOW + ageMillis), is(ageMillis));
    }

    @ParameterizedTest(name = "{0} reports of {1} % at intervals of {2} ms: average {3}")
    @CsvSource({"40, 160, 4000, 1.6", "40, 63, 4000, 0.63", "40, 250, 2, 1.35", "1, 100, 1, 1"})
    void theAverageIsLearnedOverTimeAndNotOverReports(int reports, int percent, long intervalMillis, double learned) {
        for (int i = 0; i < reports; i++) {
            pace.recordReport(percent, NOW + i * intervalMillis);
        }

        assertThat(pace.expected(NOW + reports * intervalMillis + 10_000), is(closeTo(learned, 0.02)));
    }

    @ParameterizedTest(name = "a report of another router that is {0} ms older")
    @CsvSource({"1, 100", "-1, 300"})
    void onlyNewerReportsOfOtherRoutersCount(long olderMillis, int expectedPercent) {
        pace.recordReport(100, NOW);
        pace.recordPeer(new ReportedPace("i-1", 300, 0, 10), NOW + 10 - olderMillis);

        assertThat(pace.reportedPercent(), is(expectedPercent));
        assertThat(pace.ownWithin("i-1", 500, NOW + 10) != null, is(olderMillis > 0));
    }

    /** Guards against a measurement that counts again with each of the messages that bring it. */
    @ParameterizedTest(name = "{0} messages at intervals of {1} ms")
    @CsvSource({"1, 20, 1.5", "10, 20, 1.5", "1, 0, 1.5"})
    void aMeasurementOfAnotherRouterCountsOnce(int messages, long intervalMillis, double expected) {
        for (int i = 0; i < messages; i++) {
            pace.recordPeer(new ReportedPace("i-1", 0, 200, i * intervalMillis), NOW + i * intervalMillis + i % 3);
        }

        assertThat(pace.expected(NOW), is(closeTo(expected, 0.001)));
        assertThat(pace.isReported(), is(false));
        assertThat(pace.isMeasured(), is(false));
        assertThat(pace.ownWithin("i-1", 500, NOW), is(nullValue()));
    }

    @ParameterizedTest(name = "work takes {0} times as long as reported, {1} ms later: {2}")
    @CsvSource({"1.6, 0, 1.6", "0.6, 0, 0.6", "1.6, 600000, 1", "1000, 0, 8", "0, 0, 0.25"})
    void measuredTimesCorrectTheReportsWithinBounds(double ratio, long laterMillis, double expected) {
        pace.recordReport(100, NOW);
        for (int i = 0; i < 40; i++) {
            pace.recordMeasured(ratio, NOW);
        }

        assertThat(pace.expected(NOW + laterMillis), is(closeTo(expected, 0.01)));
    }
}
