package io.laburnummoor.wire.process;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.laburnummoor.core.Service;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

/** Guards against a planned stop that ends at the first service that fails, with the wrong status and no log. */
final class StopSignalTest {
    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException("unexpected"),
                new OutOfMemoryError("Java heap space"),
                new StackOverflowError(),
                new NoClassDefFoundError("missing"));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void theOtherServicesAreStoppedAfterAFailure(Throwable failure) {
        List<String> stopped = new ArrayList<>();
        StopSignal.stopAll(List.of(
                service(() -> stopped.add("first")),
                service(() -> {
                    stopped.add("failing");
                    throwUnchecked(failure);
                }),
                service(() -> stopped.add("last"))));

        assertThat(stopped, contains("last", "failing", "first"));
    }

    private static void throwUnchecked(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    private static Service service(Runnable stop) {
        return new Service() {
            @Override
            public void start() {}

            @Override
            public void stop() {
                stop.run();
            }
        };
    }
}
