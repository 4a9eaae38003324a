package io.laburnummoor.core.process;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Guards against refusals without knowledge, waits that cannot end in time, and callers that come back together. */
final class WaitPolicyTest {
    /** Without a prediction, nobody is refused; the request is sent after half of its goal. */
    @ParameterizedTest(name = "run {0} ms, remaining {1} ms, goal {2} ms, age {3} ms")
    @CsvSource({
        "0, 622, 147, 0, 73",
        "0, 622, 147, 50, 23",
        "0, 622, 147, 100, 0",
        "600, 622, 147, 0, 22",
        "900, 622, 147, 0, 0"
    })
    void withoutAPredictionTheRequestWaitsUpToHalfOfItsGoal(
            long runMillis, long remainingMillis, long goalMillis, long ageMillis, long expectedMillis) {
        WaitPolicy.Decision decision = WaitPolicy.decide(
                StartEstimator.UNKNOWN_MILLIS, runMillis, remainingMillis, goalMillis, ageMillis, 0.5);

        assertThat(decision.isRefused(), is(false));
        assertThat(decision.maxWaitMillis(), is(expectedMillis));
    }

    @ParameterizedTest(name = "start in {0} ms, run {1} ms, remaining {2} ms")
    @CsvSource({"100, 50, 600, 200", "10, 50, 600, 99", "400, 50, 600, 550", "560, 50, 600, 0", "100, 590, 600, 0"})
    void aRequestThatCannotBeAnsweredInTimeIsRefusedAndAnyOtherWaitsLongEnough(
            long startInMillis, long runMillis, long remainingMillis, long expectedMillis) {
        WaitPolicy.Decision decision = WaitPolicy.decide(startInMillis, runMillis, remainingMillis, 198, 0, 0.5);

        assertThat(decision.isRefused(), is(expectedMillis == 0));
        assertThat(decision.maxWaitMillis(), is(expectedMillis));
    }

    @ParameterizedTest(name = "start in {0} ms, remaining {1} ms, draw {2}")
    @CsvSource({
        "1000, 9000, 0, 800",
        "1000, 9000, 0.5, 1000",
        "1000, 9000, 1, 1200",
        "1000, 2400, 0.5, 800",
        "0, 900, 0, 1",
        "50, 1, 0, 1"
    })
    void aRefusedCallerComesBackAtThePredictedTimeSpreadAndWithinAThirdOfItsTime(
            long startInMillis, long remainingMillis, double draw, long expectedMillis) {
        assertThat(WaitPolicy.retryAfterMillis(startInMillis, remainingMillis, draw), is(expectedMillis));
    }

    /** Load: requests end steadily, on this router or, for the most part, on others. */
    @ParameterizedTest(name = "an end every {0} ms after {1} ms, {2} running on {3} routers, {4} ahead")
    @CsvSource({
        "50, 43, 12, 1, 0, 4, 60",
        "1250, 9000, 370, 29, 0, 600, 1300",
        "300, 21, 24, 29, 0, 15, 60",
        "300, 21, 24, 29, 9, 200, 300",
        "300, 21, 0, 29, 9, 2500, 3500"
    })
    void thePredictionFollowsTheRateOfEnds(
            long interval, long run, int running, int routers, int ahead, long atLeast, long atMost) {
        StartEstimator estimator = new StartEstimator();
        for (int i = 0; i < 200; i++) {
            estimator.recordEnd(run, i * interval);
        }

        long startIn = estimator.startInMillis(ahead, running, routers, 200 * interval);

        assertThat(startIn, is(both(greaterThanOrEqualTo(atLeast)).and(lessThanOrEqualTo(atMost))));
        assertThat(estimator.meanRunMillis(), is(run));
    }

    /** A prediction from few or old ends would refuse requests that could run. */
    @ParameterizedTest(name = "{0} ends, {1} ms ago")
    @CsvSource({"0, 0", "3, 0", "5, 10000", "200, 60000"})
    void fewOrOldEndsGiveNoPrediction(int count, long agoMillis) {
        StartEstimator estimator = new StartEstimator();
        for (int i = 0; i < count; i++) {
            estimator.recordEnd(20, i);
        }

        assertThat(estimator.startInMillis(0, 10, 1, count + agoMillis), is(StartEstimator.UNKNOWN_MILLIS));
    }

    /** Load: callers that come back as instructed, or too late, among many others. */
    @ParameterizedTest(name = "{0} others, comes back after {1} ms")
    @CsvSource({"0, 900, 100", "0, 1000, 1000", "9, 900, 100", "10, 900, 900"})
    void aCallerThatComesBackKeepsItsAgeWhileItIsRemembered(int others, long backAfterMillis, long expectedSince) {
        ReturningRequests memory = new ReturningRequests(10);
        memory.remember("a", 100, 1_000, 0);
        for (int i = 0; i < others; i++) {
            memory.remember("other-" + i, 0, 5_000, 1);
        }

        assertThat(memory.size(), is(Math.min(10, others + 1)));
        assertThat(memory.recall("a", backAfterMillis, backAfterMillis), is(expectedSince));
        assertThat("only once", memory.recall("a", 2_000, 999), is(2_000L));
    }
}
