package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.ErrorCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against reporting "not run" without proof that the call did not run. */
final class NonIdempotentCallTest {
    /**
     * The row with UNAVAILABLE and 40,000 ms guards against a fault found by the fuzz test (seed 7, script 18475):
     * after a long pause of the router, the release found no record of an earlier attempt, because the segment with
     * that record had been dropped.
     */
    @ParameterizedTest
    @CsvSource({
        "UNAVAILABLE, RECORDED, 0, 100000, not_run",
        "UNAVAILABLE, RECORDED, 40000, 100000, outcome_unknown",
        "GRANTED, RECORDED, 40000, 100000, not_run",
        "UNAVAILABLE, UNAVAILABLE, 0, 100000, outcome_unknown",
        "UNAVAILABLE, UNAVAILABLE, 0, 10, not_run",
        "UNAVAILABLE_FIRST_USE, UNAVAILABLE, 0, 100000, not_run",
        "UNAVAILABLE, ALREADY_CLAIMED, 0, 10, outcome_unknown",
        "UNAVAILABLE, KEY_REUSED, 0, 10, key_reused",
    })
    void notRunIsReportedOnlyWithProof(
            ClaimOutcome.Kind claimed, ClaimOutcome.Kind released, long nowMillis, long keyAgeMillis, String code) {
        ClaimRecord claim =
                new ClaimRecord(ClaimState.CLAIMED, new RequestId("office", "k"), "n", "router", "digest", 5_000, null);
        RecordingEffects effects = new RecordingEffects();
        NonIdempotentCall call = new NonIdempotentCall(claim, keyAgeMillis, effects);
        call.start();
        call.onClaimOutcome(ClaimOutcome.of(claimed), 0);
        call.onNotSent("refused");
        call.onReleaseOutcome(ClaimOutcome.of(released), "given up", nowMillis);
        assertThat(effects.codes, is(List.of(code)));
    }

    private static final class RecordingEffects implements CallEffects {
        private final List<String> codes = new ArrayList<>();

        @Override
        public void claim(ClaimRecord claim) {}

        @Override
        public void dispatch() {}

        @Override
        public void release(ClaimRecord released, String reason) {}

        @Override
        public void record(ClaimRecord done) {}

        @Override
        public void forwardResponse() {}

        @Override
        public void replayResult(RecordedResult result) {}

        @Override
        public void fail(ErrorCode code, String detail) {
            codes.add(code.code());
        }
    }
}
