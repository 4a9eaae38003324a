package io.laburnummoor.core.process;

import java.util.List;

import io.laburnummoor.core.request.RetryPolicy;
import io.laburnummoor.core.version.ForwardRoute;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against requests that a stopping router accepts and then cuts off. */
final class DrainPolicyTest {
    @ParameterizedTest(name = "streaming {0}, timeout {1} ms, {2} ms after the signal")
    @CsvSource({
        "true, 25000, 0, true",
        "true, 25000, 1000, true",
        "true, 25000, 1001, false",
        "true, 25000, 5126, false",
        "false, 800, 0, true",
        "false, 800, 6500, true",
        "false, 800, 6501, false",
        "false, 9000, 0, false"
    })
    void onlyRequestsThatCanEndInTimeAreTaken(
            boolean streaming, long timeoutMillis, long sinceStopMillis, boolean accepted) {
        ForwardRoute route = new ForwardRoute(
                "r",
                "desk.example",
                "/",
                RetryPolicy.IDEMPOTENT,
                streaming,
                timeoutMillis,
                300,
                1,
                false,
                List.of(new ForwardRoute.Target("desk", 1)),
                0);

        assertThat(DrainPolicy.accepts(route, sinceStopMillis, 8_000), is(accepted));
    }
}
