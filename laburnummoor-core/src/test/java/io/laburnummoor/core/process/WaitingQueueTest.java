package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import io.laburnummoor.core.request.Urgency;
import io.laburnummoor.core.request.WaitingRequest;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.sameInstance;

/** Guards against requests that starve, against shares by number of requests, and against a queue without bounds. */
final class WaitingQueueTest {
    private static final int MANY = 1_000;
    private static final long NO_BYTE_LIMIT = Long.MAX_VALUE / 2;

    private final WaitingQueue queue = new WaitingQueue(MANY, NO_BYTE_LIMIT);

    private @Nullable WaitingRequest grant() {
        return queue.grant(WaitingRequests.SERVICE, Long.MAX_VALUE);
    }

    private List<WaitingRequest> grant(int count) {
        List<WaitingRequest> granted = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            WaitingRequest next = grant();
            if (next != null) {
                granted.add(next);
            }
        }
        return granted;
    }

    private static long countOf(List<WaitingRequest> requests, String organisation, String caller) {
        return requests.stream()
                .filter(each -> each.organisation().equals(organisation)
                        && each.caller().equals(caller))
                .count();
    }

    /** Load: one organisation floods beside small ones, with requests of its size or larger ones. */
    @ParameterizedTest(name = "{0} small organisations, {1} and {2} tokens")
    @CsvSource({"1, 0, 0", "4, 0, 0", "4, 8000, 8000", "4, 14400, 2000", "9, 2000, 14400"})
    void anOrganisationThatFloodsTakesNoMoreThanItsShare(int smallCount, long floodTokens, long smallTokens) {
        IntStream.range(0, 900).forEach(i -> queue.add(WaitingRequests.of(5, "flood", "one", floodTokens, i, 1_000)));
        for (int i = 0; i < smallCount; i++) {
            for (int each = 0; each < 10; each++) {
                queue.add(WaitingRequests.of(5, "small-" + i, "one", smallTokens, 1_000 + each, 1_000));
            }
        }

        List<WaitingRequest> granted = new ArrayList<>();
        while (countOf(granted, "small-0", "one") < 10) {
            granted.addAll(grant(1));
        }

        // The place of the one that has waited longest comes on top.
        double ownCost = 10.0 * Math.max(1, smallTokens);
        double floodCost = Math.max(1, floodTokens);
        double share = ownCost / floodCost + 1;
        double withOldest = share + Math.ceil((share + 10.0 * smallCount) / 7);
        assertThat((double) countOf(granted, "flood", "one"), is(lessThanOrEqualTo(withOldest)));
    }

    /** Load: a caller floods within its organisation. */
    @ParameterizedTest(name = "{0} tokens")
    @ValueSource(longs = {0, 32, 14_400})
    void aCallerThatFloodsDoesNotDelayTheOthersOfItsOrganisation(long tokens) {
        IntStream.range(0, 500).forEach(i -> queue.add(WaitingRequests.of(5, "park", "flood", tokens, i, 1_000)));
        IntStream.range(0, 5).forEach(i -> queue.add(WaitingRequests.of(5, "park", "quiet", tokens, 600 + i, 1_000)));

        List<WaitingRequest> granted = grant(12);

        assertThat(countOf(granted, "park", "quiet"), is(5L));
    }

    /** Load: urgent requests beside many less urgent ones, which must not starve. */
    @ParameterizedTest(name = "urgencies {0} and {1}")
    @CsvSource({"0, 2", "1, 9", "5, 6"})
    void everyEighthPlaceGoesToTheRequestThatHasWaitedLongest(int urgent, int other) {
        List<WaitingRequest> others = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            WaitingRequest each = WaitingRequests.of(other, "guests", "one", 8_000, i, 10_000);
            queue.add(each);
            others.add(each);
        }
        List<WaitingRequest> granted = new ArrayList<>();
        for (int i = 0; i < 160; i++) {
            queue.add(WaitingRequests.of(urgent, "desk", "one", 8_000, 1_000 + i, 4_000));
            granted.addAll(grant(1));
        }

        List<WaitingRequest> grantedOthers =
                granted.stream().filter(others::contains).toList();
        assertThat(grantedOthers.size(), is(160 / WaitingQueue.OLDEST_GRANT_INTERVAL));
        assertThat(grantedOthers, is(others.subList(0, grantedOthers.size())));
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(ints = {3, 20})
    void theRequestsOfOneCallerStartInTheOrderOfTheirTimeLeftToTheGoal(int count) {
        IntStream.range(0, count).forEach(i -> queue.add(WaitingRequests.of(5, "park", "one", 0, i, 5_000 - 100L * i)));

        List<Long> goals = grant(3).stream().map(WaitingRequest::goalAtMillis).toList();

        long last = 5_000 - 99L * (count - 1);
        assertThat(goals, contains(last, last + 99, last + 198));
    }

    /** Load: long prompts wait while a short one would fit into the KV cache that is free. */
    @ParameterizedTest(name = "{0} tokens free")
    @CsvSource({"14400, 14400", "10000, 2000", "2000, 2000", "1999, 0"})
    void aPlaceGoesToTheFirstRequestThatFits(long freeTokens, long expectedTokens) {
        queue.add(WaitingRequests.of(0, "park", "one", 14_400, 0, 1_000));
        queue.add(WaitingRequests.of(2, "park", "one", 2_000, 0, 1_000));

        WaitingRequest granted = queue.grant(WaitingRequests.SERVICE, freeTokens);

        assertThat(granted == null ? 0 : granted.tokens(), is(expectedTokens));
    }

    /** Load: a full queue, of less urgent requests or of ones that are as urgent. */
    @ParameterizedTest(name = "urgency {0} beside {1}")
    @CsvSource({"0, 2", "5, 5", "7, 3"})
    void aFullQueueTakesOnlyAMoreUrgentRequestInPlaceOfTheNewestOfTheLeastUrgent(int urgency, int others) {
        List<WaitingRequest> waiting = new ArrayList<>();
        for (int i = 0; i < MANY; i++) {
            WaitingRequest each = WaitingRequests.of(others, "park", "one", 0, i, 1_000);
            waiting.add(each);
            assertThat(queue.add(each), is(nullValue()));
        }
        WaitingRequest further = WaitingRequests.of(urgency, "desk", "one", 0, MANY, 1_000);

        WaitingRequest displaced = queue.add(further);

        assertThat(displaced, is(sameInstance(urgency < others ? waiting.get(MANY - 1) : further)));
        assertThat(queue.size(), is(MANY));
        assertThat(queue.sizeOf(new Urgency(others)), is(urgency < others ? MANY - 1 : MANY));
    }

    /** Load: few requests with large bodies, which would take the memory of the requests that find room. */
    @ParameterizedTest(name = "{0} bytes")
    @CsvSource({"100, 10", "250, 4", "400, 2", "1001, 0"})
    void theBytesOfAllWaitingRequestsAreBounded(long bytes, int expectedCount) {
        WaitingQueue bounded = new WaitingQueue(MANY, 1_000);
        for (int i = 0; i < 20; i++) {
            bounded.add(WaitingRequests.of(5, "park", "one", 0, i, 1_000, bytes));
        }
        assertThat(bounded.size(), is(expectedCount));

        while (bounded.grant(WaitingRequests.SERVICE, Long.MAX_VALUE) != null) {
            assertThat(bounded.size(), is(lessThanOrEqualTo(expectedCount)));
        }

        WaitingRequest later = WaitingRequests.of(5, "park", "one", 0, 30, 1_000, 1_000);
        assertThat("memory was returned", bounded.add(later), is(nullValue()));
    }

    /** Load: a stop while requests of several services and urgencies wait. */
    @ParameterizedTest(name = "{0} waiting")
    @ValueSource(ints = {0, 1, 100})
    void aStopFindsAllRequests(int count) {
        for (int i = 0; i < count; i++) {
            queue.add(WaitingRequests.of(i % 10, "o" + i % 7, "c" + i % 3, i, i, 1_000));
        }

        assertThat(queue.removeAll().size(), is(count));
        assertThat(queue.size(), is(0));
        assertThat(queue.services().isEmpty(), is(true));
        assertThat(grant(), is(nullValue()));
    }

    /** Load: callers that disconnect while they wait. */
    @ParameterizedTest(name = "every {0}. leaves")
    @ValueSource(ints = {1, 2, 7})
    void aRequestThatHasLeftGetsNoPlace(int interval) {
        List<WaitingRequest> left = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            WaitingRequest each = WaitingRequests.of(i % 3, "o" + i % 5, "c" + i % 4, i, i, 1_000);
            queue.add(each);
            if (i % interval == 0) {
                left.add(each);
            }
        }
        left.forEach(each -> assertThat(queue.remove(each), is(true)));
        left.forEach(each -> assertThat(queue.remove(each), is(false)));

        List<WaitingRequest> granted = grant(101);

        assertThat(granted.size(), is(100 - left.size()));
        assertThat(granted.stream().noneMatch(left::contains), is(true));
    }

    /** The prediction must not be far too short, or callers would wait in vain, nor count a flood of others. */
    @ParameterizedTest(name = "{0} of the own caller, {1} of a flood")
    @CsvSource({"0, 0, 0", "0, 500, 1", "3, 500, 7", "10, 0, 10"})
    void theCountAheadFollowsTheFairOrder(int own, int others, int expected) {
        IntStream.range(0, own).forEach(i -> queue.add(WaitingRequests.of(5, "park", "one", 0, i, 1_000)));
        IntStream.range(0, others).forEach(i -> queue.add(WaitingRequests.of(5, "flood", "one", 0, i, 1_000)));

        int ahead = queue.countAhead(WaitingRequests.of(5, "park", "one", 0, 600, 1_000));

        assertThat(ahead, is(greaterThanOrEqualTo(expected)));
        assertThat(ahead, is(lessThanOrEqualTo(expected + 2)));
    }
}
