package io.laburnummoor.bench.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.router.version.RolloutNotifier;
import io.laburnummoor.wire.process.JsonHttp;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

/** Guards against outcomes that operators never hear of, and against messages that are sent for ever. */
final class RolloutNotifierTest {
    @ParameterizedTest
    @CsvSource({
        "ROLLED_BACK, false, 0, 1, rolled_back",
        "COMPLETED, false, 3, 4, completed",
        "LATE, true, 1, 2, late",
        "RUNNING, true, 1, 2, late_expected",
        "RUNNING, false, 0, 0, none",
    })
    void repeatsUntilAcknowledged(
            RolloutState.Phase phase, boolean late, int refusals, int expectedMessages, String expectedOutcome) {
        Receiver receiver = new Receiver(refusals);
        receiver.start();
        JsonHttp http = new JsonHttp(2_000);
        try {
            FakeKeyValueStore store = new FakeKeyValueStore(() -> 0);
            String address = "http://127.0.0.1:" + receiver.port() + "/outcome";
            RolloutState state = new RolloutState(
                    "r1",
                    "drafter",
                    "v1",
                    "v2",
                    phase,
                    1,
                    0,
                    0,
                    100_000,
                    late,
                    3,
                    List.of(new RolloutState.Event(5, "step", "evidence")));
            RolloutNotifier notifier = new RolloutNotifier(store, http, address);
            for (int period = 0; period < 60; period++) {
                notifier.onPeriod(state);
            }
            // The next controller finds the acknowledgement in the key-value service.
            new RolloutNotifier(store, http, address).onPeriod(state);
            assertThat(receiver.outcomes, equalTo(Collections.nCopies(expectedMessages, expectedOutcome)));
        } finally {
            http.stop();
            receiver.stop();
        }
    }

    /** Refuses the first messages. */
    private static final class Receiver extends HttpStandIn {
        private final List<String> outcomes = Collections.synchronizedList(new ArrayList<>());

        Receiver(int refusals) {
            super("127.0.0.1", 0);
            route("/outcome", exchange -> {
                outcomes.add(readJson(exchange).path("outcome").asText());
                writeJson(exchange, outcomes.size() > refusals ? 200 : 503, MAPPER.createObjectNode());
            });
        }
    }
}
