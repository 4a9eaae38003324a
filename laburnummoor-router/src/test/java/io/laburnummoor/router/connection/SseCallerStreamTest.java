package io.laburnummoor.router.connection;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.ResumePosition;
import io.laburnummoor.core.request.Token;
import jakarta.ws.rs.container.AsyncResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Guards against reordering of the events of one stream by a pool of writer threads. */
final class SseCallerStreamTest {
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3})
    void atMostOneTaskPerStreamIsQueuedInThePool(long seed) {
        ManualExecutor executor = new ManualExecutor();
        AsyncResponse response = (AsyncResponse) Proxy.newProxyInstance(
                AsyncResponse.class.getClassLoader(),
                new Class<?>[] {AsyncResponse.class},
                (proxy, method, arguments) -> method.getReturnType() == boolean.class ? Boolean.TRUE : null);
        SseCallerStream stream = new SseCallerStream(response, executor, () -> {});
        stream.open("key");
        RandomGenerator random = new SplittableRandom(seed);

        for (int offset = 0; offset < 100; offset++) {
            stream.sendTokens(offset, List.of(new Token(offset, "t")), new ResumePosition("agent", 1, offset + 1));
            // Two queued tasks of one stream could be run by two threads in either order.
            assertThat(executor.queued.size(), lessThanOrEqualTo(1));
            if (random.nextBoolean()) {
                executor.runAll();
            }
        }
        stream.finish(100, FinishReason.LENGTH);
        assertThat(executor.queued.size(), lessThanOrEqualTo(1));
    }

    private static final class ManualExecutor implements Executor {
        private final List<Runnable> queued = new ArrayList<>();

        @Override
        public void execute(Runnable task) {
            queued.add(task);
        }

        void runAll() {
            List<Runnable> batch = List.copyOf(queued);
            queued.clear();
            batch.forEach(Runnable::run);
        }
    }
}
