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
    /** Streams that would have ended in time were refused while all routers of a failure domain were restarted. */
    @ParameterizedTest(name = "streaming {0}, timeout {1} ms, {2} ms after the signal, streams take {3} ms")
    @CsvSource({
        "true, 25000, 0, 0, true",
        "true, 25000, 1000, 0, true",
        "true, 25000, 1001, 0, false",
        "true, 25000, 5126, 0, false",
        "true, 25000, 1000, 9000, true",
        "true, 25000, 1001, 9000, false",
        "true, 25000, 2100, 5200, true",
        "true, 25000, 2101, 5200, false",
        "true, 25000, 2500, 100, true",
        "true, 25000, 2501, 100, false",
        "false, 800, 0, 0, true",
        "false, 800, 6500, 0, true",
        "false, 800, 6501, 0, false",
        "false, 800, 6501, 100, false",
        "false, 9000, 0, 0, false"
    })
    void onlyRequestsThatCanEndInTimeAreTaken(
            boolean streaming, long timeoutMillis, long sinceStopMillis, long streamMillis, boolean accepted) {
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
                0,
                null);

        assertThat(DrainPolicy.accepts(route, sinceStopMillis, 8_000, streamMillis), is(accepted));
    }
}
