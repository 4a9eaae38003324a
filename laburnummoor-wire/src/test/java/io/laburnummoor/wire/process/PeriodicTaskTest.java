package io.laburnummoor.wire.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against a registration, a rollout or a check of the settings that stops for good after one error. */
final class PeriodicTaskTest {
    private static final long INTERVAL_MILLIS = 10;
    private static final long WAIT_SECONDS = 5;

    static Stream<Error> errors() {
        return Stream.of(
                new OutOfMemoryError("Java heap space"),
                new StackOverflowError(),
                new AssertionError("unexpected"),
                new NoClassDefFoundError("missing"));
    }

    @ParameterizedTest
    @MethodSource("errors")
    void theTaskRunsAgainAfterAnError(Error error) throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        PeriodicTask task = new PeriodicTask("test", INTERVAL_MILLIS, () -> {
            runs.countDown();
            throw error;
        });
        task.start();
        boolean repeated = runs.await(WAIT_SECONDS, TimeUnit.SECONDS);
        task.stop();

        assertThat(repeated, is(true));
    }
}
