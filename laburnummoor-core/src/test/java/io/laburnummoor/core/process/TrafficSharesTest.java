package io.laburnummoor.core.process;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.version.RolloutState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

/** Guards against traffic to a version that this router must not use, and against retries that get another version. */
final class TrafficSharesTest {
    private final AtomicLong nowMillis = new AtomicLong();
    private final TrafficShares shares = new TrafficShares(nowMillis::get);

    @ParameterizedTest
    @CsvSource({
        "RUNNING, 0, false, 0, 10",
        "RUNNING, 3, false, 0, 400",
        "RUNNING, 3, true, 0, 0",
        "RUNNING, 3, false, 6000, 400",
        // The process was paused for longer than the maximum poll age, so it may have missed a rollback.
        "RUNNING, 3, false, 6001, 0",
        "ROLLED_BACK, 3, false, 0, 0",
        "COMPLETED, 5, false, 0, 1000",
        "COMPLETED, 5, false, 60000, 1000",
        "LATE, 5, false, 0, 1000",
    })
    void newVersionGetsItsTrafficShare(
            RolloutState.Phase phase, int step, boolean halted, long pauseMillis, int expectedPerMille) {
        shares.accept(state(phase, step, 5));
        // An older state that arrives late is ignored.
        shares.accept(state(RolloutState.Phase.RUNNING, 4, 4));
        if (halted) {
            shares.halt("r1", "bad");
        }
        nowMillis.addAndGet(pauseMillis);
        assertThat(shares.sharePerMille(state(phase, step, 5)), equalTo(expectedPerMille));
        int sentToNewVersion = 0;
        for (int i = 0; i < 10_000; i++) {
            RequestId id = new RequestId("office", "key-" + i);
            List<String> versions = shares.versionsFor("drafter", "v1", id);
            assertThat(shares.versionsFor("drafter", "v1", id), equalTo(versions));
            sentToNewVersion += versions.get(0).equals("v2") ? 1 : 0;
        }
        assertThat(Math.abs(sentToNewVersion - 10 * expectedPerMille) <= 200, equalTo(true));
    }

    private static RolloutState state(RolloutState.Phase phase, int step, long change) {
        return new RolloutState("r1", "drafter", "v1", "v2", phase, step, 0, 0, 100_000, false, change, List.of());
    }
}
