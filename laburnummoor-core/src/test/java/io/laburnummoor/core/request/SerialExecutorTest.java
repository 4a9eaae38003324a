package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

/** Guards against tasks that run out of order, which would write a caller's tokens in the wrong order. */
final class SerialExecutorTest {
    private static final int TASKS = 20_000;

    @ParameterizedTest(name = "{0} threads")
    @ValueSource(ints = {1, 2, 8})
    void tasksRunInSubmissionOrderOnSeveralThreads(int threads) throws InterruptedException {
        ExecutorService runner = Executors.newFixedThreadPool(threads);
        List<Throwable> failures = Collections.synchronizedList(new ArrayList<>());
        SerialExecutor serial = new SerialExecutor(runner, failures::add);
        List<Integer> seen = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(TASKS);

        IntStream.range(0, TASKS)
                .forEach(i -> serial.execute(() -> {
                    seen.add(i);
                    done.countDown();
                }));

        assertThat(done.await(20, TimeUnit.SECONDS), equalTo(true));
        runner.shutdownNow();
        assertThat(failures, empty());
        assertThat(seen, equalTo(IntStream.range(0, TASKS).boxed().toList()));
    }
}
