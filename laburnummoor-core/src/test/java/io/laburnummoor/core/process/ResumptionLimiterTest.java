package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Guards against resumptions that exceed the bound, overtake an earlier deadline or wait for ever. */
final class ResumptionLimiterTest {
    @ParameterizedTest(name = "limit {0}")
    @ValueSource(ints = {1, 2, 5})
    void resumptionsAreServedInDeadlineOrder(int limit) {
        ResumptionLimiter limiter = new ResumptionLimiter(() -> limit);
        List<ResumptionLimiter.Permit> first = new ArrayList<>();
        for (int i = 0; i < limit; i++) {
            first.add(limiter.request(0, () -> {}));
        }
        List<Long> served = new ArrayList<>();
        for (long deadlineMillis : new long[] {30, 10, 20}) {
            limiter.request(deadlineMillis, () -> served.add(deadlineMillis));
        }
        limiter.request(5, () -> served.add(5L)).release();
        assertThat(served, is(List.of()));
        assertThat(limiter.waitingCount(), is(3));

        first.get(0).release();
        first.get(0).release();

        assertThat(served, is(List.of(10L)));
        assertThat(limiter.grantedCount(), is(limit));
    }

    @ParameterizedTest(name = "limit {0}")
    @ValueSource(ints = {1, 4, 16})
    void boundHoldsAndNoneIsForgottenOnSeveralThreads(int limit) throws InterruptedException {
        ResumptionLimiter limiter = new ResumptionLimiter(() -> limit);
        AtomicInteger running = new AtomicInteger();
        AtomicInteger peak = new AtomicInteger();
        int requests = 2_000;
        CountDownLatch done = new CountDownLatch(requests);
        ExecutorService threads = Executors.newFixedThreadPool(8);
        for (int i = 0; i < requests; i++) {
            int deadlineMillis = i % 7;
            threads.execute(() -> {
                ResumptionLimiter.Permit[] permit = new ResumptionLimiter.Permit[1];
                CountDownLatch assigned = new CountDownLatch(1);
                permit[0] = limiter.request(
                        deadlineMillis,
                        () -> threads.execute(() -> {
                            peak.accumulateAndGet(running.incrementAndGet(), Math::max);
                            await(assigned);
                            running.decrementAndGet();
                            permit[0].release();
                            done.countDown();
                        }));
                assigned.countDown();
            });
        }
        assertThat(done.await(20, TimeUnit.SECONDS), is(true));
        threads.shutdownNow();
        assertThat(peak.get(), lessThanOrEqualTo(limit));
        assertThat(limiter.grantedCount(), is(0));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
