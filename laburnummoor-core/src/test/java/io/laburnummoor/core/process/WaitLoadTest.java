package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import io.laburnummoor.core.request.WaitingRequest;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Guards against waits that end after the deadline and against refusals of requests that could have been answered, with
 * the whole decision and simulated time.
 */
final class WaitLoadTest {
    private static final int SLOTS = 6;
    private static final long GOAL_MILLIS = 198;

    /**
     * Load: a burst of calls on a service of 3 upstreams with 6 slots, of which one failure domain is lost. The
     * arguments are the size of the burst, its duration, the work of a call and the time that a caller waits.
     */
    @ParameterizedTest(name = "{0} calls in {1} ms, {2} ms of work, deadline {3} ms")
    @CsvSource({
        "40, 50, 43, 2560",
        "200, 100, 43, 2560",
        "1200, 1000, 43, 2560",
        "600, 2000, 43, 622",
        "2000, 500, 21, 833"
    })
    void whoeverIsAdmittedIsAnsweredInTimeAndNoPlaceStaysFree(
            int count, long burstMillis, long workMillis, long deadlineMillis) {
        Simulation simulation = new Simulation(2 * SLOTS, workMillis, deadlineMillis);
        simulation.runSteadily(60);
        simulation.runBurst(count, burstMillis);

        // 15 % less than what the places allow until the deadline of the last call.
        double possible = 2.0 * SLOTS / workMillis * (burstMillis + deadlineMillis - workMillis);
        double expected = Math.min(count, 0.85 * possible);
        assertThat(simulation.lateCount, is(0));
        assertThat((double) simulation.answeredCount, is(greaterThanOrEqualTo(expected)));
        assertThat(simulation.answeredCount + simulation.refusedCount, is(count));
        assertThat(simulation.maxRunning, is(lessThanOrEqualTo(2 * SLOTS)));
        simulation.retryAfters.forEach(
                each -> assertThat(each, is(both(greaterThan(0L)).and(lessThanOrEqualTo(deadlineMillis / 3)))));
    }

    /** One router with all places of the service. */
    private static final class Simulation {
        private final int places;
        private final long workMillis;
        private final long deadlineMillis;
        private final WaitingQueue queue = new WaitingQueue(1_000, Long.MAX_VALUE / 2);
        private final StartEstimator estimator = new StartEstimator();
        private final SplittableRandom random = new SplittableRandom(1);
        private final PriorityQueue<Long> ends = new PriorityQueue<>(Comparator.naturalOrder());
        private final Map<WaitingRequest, Long> sendUnplacedAt = new HashMap<>();
        private final List<Long> retryAfters = new ArrayList<>();
        private long now;
        private int answeredCount;
        private int refusedCount;
        private int lateCount;
        private int maxRunning;

        Simulation(int places, long workMillis, long deadlineMillis) {
            this.places = places;
            this.workMillis = workMillis;
            this.deadlineMillis = deadlineMillis;
        }

        /** Calls that find room, from which the rate and the duration are learned. */
        void runSteadily(int count) {
            for (int i = 0; i < count; i++) {
                advanceTo(now + workMillis / 4);
                arrive();
            }
            advanceTo(now + 10 * workMillis);
            answeredCount = 0;
        }

        void runBurst(int count, long burstMillis) {
            long start = now;
            for (int i = 0; i < count; i++) {
                advanceTo(start + i * burstMillis / count);
                arrive();
            }
            advanceTo(now + 2 * deadlineMillis);
        }

        private void arrive() {
            WaitingRequest request = WaitingRequests.of(5, "park", "one", 0, now, GOAL_MILLIS);
            if (queue.size() == 0 && ends.size() < places) {
                run(request);
                return;
            }
            long startIn = estimator.startInMillis(queue.countAhead(request), ends.size(), 1, now);
            WaitPolicy.Decision decision = WaitPolicy.decide(
                    startIn, estimator.meanRunMillis(), deadlineMillis, GOAL_MILLIS, 0, random.nextDouble());
            if (decision.isRefused()) {
                refusedCount++;
                retryAfters.add(decision.retryAfterMillis());
            } else {
                queue.add(request);
                sendUnplacedAt.put(request, now + decision.maxWaitMillis());
            }
        }

        private void run(WaitingRequest request) {
            long end = now + workMillis;
            ends.add(end);
            maxRunning = Math.max(maxRunning, ends.size());
            answeredCount++;
            lateCount += end > request.sinceMillis() + deadlineMillis ? 1 : 0;
        }

        private void advanceTo(long time) {
            while (!ends.isEmpty() && ends.peek() <= time) {
                now = ends.remove();
                estimator.recordEnd(workMillis, now);
                grant();
            }
            now = time;
        }

        private void grant() {
            WaitingRequest next = queue.grant(WaitingRequests.SERVICE, ends.size() < places ? 0 : -1);
            if (next != null) {
                assertThat("waited longer than allowed", now, is(lessThanOrEqualTo(waitEnd(next))));
                run(next);
            }
        }

        private long waitEnd(WaitingRequest request) {
            @Nullable Long end = sendUnplacedAt.remove(request);
            return end == null ? Long.MIN_VALUE : end;
        }
    }
}
