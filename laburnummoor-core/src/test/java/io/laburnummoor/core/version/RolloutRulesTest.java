package io.laburnummoor.core.version;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

/** Guards against steps without enough evidence, delayed reports of lateness, and delayed rollbacks. */
final class RolloutRulesTest {
    private static final long COMPLETE_BY_MILLIS = 100_000;

    private final RolloutRules rules = new RolloutRules(10_000);

    // Steps are due every 16 s: 0.8 of 100 s over 5 steps. Five steps at intervals of 10 s fit if the first is by 60 s.
    @ParameterizedTest
    @CsvSource(
            nullValues = "none",
            value = {
                "15999, false, false, 100, none, none, 0",
                "16000, false, false, 100, none, running, 1",
                "16000, false, true, 100, none, none, 0",
                "16000, false, false, 29, none, none, 0",
                "59999, false, true, 100, none, none, 0",
                "60001, false, true, 100, none, late, 0",
                "60001, false, false, 100, none, running, 1",
                "500, true, false, 0, none, rolled_back, 0",
                "500, false, false, 0, halt, rolled_back, 0"
            })
    void firstStepNeedsTimeAndEvidence(
            long nowMillis,
            boolean bad,
            boolean suspicious,
            long compared,
            @Nullable String stopReason,
            @Nullable String expected,
            int expectedStep) {
        RolloutState state = RolloutState.start(declaration(), 0);
        VersionEvaluation.Verdict verdict = new VersionEvaluation.Verdict(bad, suspicious, compared, "evidence");
        RolloutState next = rules.next(state, verdict, compared, stopReason, nowMillis);
        String outcome = next == null
                ? null
                : next.lateReported() ? "late" : next.phase().text();
        assertThat(outcome, equalTo(expected));
        assertThat(next == null ? 0 : next.step(), equalTo(expectedStep));
    }

    @ParameterizedTest
    @CsvSource({"100000, COMPLETED", "100001, LATE"})
    void lastStepOutcomeDependsOnDeadline(long nowMillis, RolloutState.Phase expected) {
        RolloutState state = RolloutState.start(declaration(), 0);
        VersionEvaluation.Verdict good = new VersionEvaluation.Verdict(false, false, 1_000, "none");
        for (int step = 1; step < StepPlan.lastStep(); step++) {
            state = state.withStep(RolloutState.Phase.RUNNING, step, 50_000, "");
        }
        RolloutState next = rules.next(state, good, 100, null, nowMillis);
        assertThat(next == null ? null : next.phase(), equalTo(expected));
        assertThat(next == null ? 0 : next.sharePerMille(), equalTo(1_000));
    }

    private static RolloutDeclaration declaration() {
        return new RolloutDeclaration("r1", "drafter", "v1", "v2", COMPLETE_BY_MILLIS, List.of(), 0.02, 1.5);
    }
}
