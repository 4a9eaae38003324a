package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against a failure that ends the thread of a task, or that nobody hears of since its handling failed, too. */
final class GuardedTaskTest {
    @ParameterizedTest(name = "the handler fails {0} times")
    @CsvSource({"0", "1", "2"})
    void eachFailureIsHandledInTheEnd(int handlerFailures) {
        OutOfMemoryError failure = new OutOfMemoryError("Java heap space");
        List<Throwable> handled = new ArrayList<>();
        int[] runs = {0};
        int[] handlings = {0};
        GuardedTask task = new GuardedTask(
                () -> {
                    if (runs[0]++ == 0) {
                        throw failure;
                    }
                },
                each -> {
                    if (handlings[0]++ < handlerFailures) {
                        throw new OutOfMemoryError("in the handler");
                    }
                    handled.add(each);
                });
        for (int i = 0; i <= handlerFailures; i++) {
            task.run();
        }

        assertThat(runs[0], is(handlerFailures + 1));
        assertThat(handled, is(List.of(failure)));
    }
}
