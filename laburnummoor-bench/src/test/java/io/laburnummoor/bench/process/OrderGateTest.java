package io.laburnummoor.bench.process;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.process.ControllerLease;
import io.laburnummoor.core.process.FencedOrderExecutor;
import io.laburnummoor.core.version.UpstreamOrder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

/** Guards against stale, repeated, expired and unchecked orders that reach an upstream which ignores fencing tokens. */
final class OrderGateTest {
    @ParameterizedTest
    @CsvSource({
        "3, 3, false, 100, false, DONE, 1",
        "2, 3, false, 100, false, STALE, 0",
        "4, 3, false, 100, false, FENCE_UNKNOWN, 0",
        "3, 3, true, 100, false, FENCE_UNKNOWN, 0",
        "3, 3, false, -1, false, EXPIRED, 0",
        // The agent has restarted and the upstream is already in the wanted state.
        "3, 3, false, 100, true, DONE, 0",
    })
    void order(
            long token,
            long tokenInForce,
            boolean down,
            long deadlineMillis,
            boolean alreadyDone,
            UpstreamOrder.Result expected,
            int expectedRuns) {
        FakeKeyValueStore store = new FakeKeyValueStore(() -> 0);
        store.compareAndSwap(ControllerLease.FENCING_TOKEN_KEY, 0, Long.toString(tokenInForce));
        store.setDown(down);
        List<UpstreamOrder> runs = new ArrayList<>();
        FencedOrderExecutor gate = new FencedOrderExecutor(store, upstream(runs, alreadyDone), () -> 0);
        UpstreamOrder order = new UpstreamOrder("o1", token, UpstreamOrder.Kind.LOAD_VERSION, "v2", deadlineMillis);
        assertThat(gate.execute(order), equalTo(expected));
        assertThat("sent again", gate.execute(order), equalTo(expected));
        assertThat(runs.size(), equalTo(expectedRuns));
    }

    private static FencedOrderExecutor.Upstream upstream(List<UpstreamOrder> runs, boolean alreadyDone) {
        return new FencedOrderExecutor.Upstream() {
            @Override
            public boolean isDone(UpstreamOrder order) {
                return alreadyDone;
            }

            @Override
            public boolean execute(UpstreamOrder order) {
                return runs.add(order);
            }
        };
    }
}
