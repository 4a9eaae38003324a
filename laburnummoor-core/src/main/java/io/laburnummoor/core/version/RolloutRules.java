package io.laburnummoor.core.version;

import org.jspecify.annotations.Nullable;

/** State transitions of a rollout. They depend only on their arguments, so they can be retried safely. */
public final class RolloutRules {
    /** Number of attempts on the new version that must be compared during a step before the next one. */
    public static final long MIN_COMPARED_REQUESTS = 30;

    private final long minStepMillis;

    /** Creates rules with a minimum time between two steps. */
    public RolloutRules(long minStepMillis) {
        this.minStepMillis = minStepMillis;
    }

    /**
     * Returns the next state, or null if the state does not change now.
     *
     * @param verdict result of the controller's evaluation
     * @param comparedInStep attempts on the new version compared during the current step
     * @param stopReason why a router or an operator stopped the rollout, which is then rolled back regardless of the
     *     verdict; null if it was not stopped
     */
    public @Nullable RolloutState next(
            RolloutState state,
            VersionEvaluation.Verdict verdict,
            long comparedInStep,
            @Nullable String stopReason,
            long nowMillis) {
        if (state.phase() != RolloutState.Phase.RUNNING) {
            return null;
        }
        if (stopReason != null) {
            return state.rolledBack(nowMillis, stopReason);
        }
        if (verdict.bad()) {
            return state.rolledBack(nowMillis, verdict.evidence());
        }
        StepPlan plan = new StepPlan(state.startedAtMillis(), state.completeByMillis(), minStepMillis);
        int nextStep = state.step() + 1;
        boolean due = nowMillis >= plan.dueAtMillis(nextStep, state.stepAtMillis());
        if (due && !verdict.suspicious() && comparedInStep >= MIN_COMPARED_REQUESTS) {
            return stepTo(state, nextStep, verdict, nowMillis);
        }
        if (!state.lateReported() && !plan.canComplete(state.step(), state.stepAtMillis(), nowMillis)) {
            return state.reportedLate(
                    nowMillis,
                    "step " + state.step() + " of " + StepPlan.lastStep() + ", " + comparedInStep
                            + " attempts compared in it; " + verdict.evidence());
        }
        return null;
    }

    private static RolloutState stepTo(
            RolloutState state, int step, VersionEvaluation.Verdict verdict, long nowMillis) {
        String detail = "share " + StepPlan.sharePerMille(step) + " per mille after " + verdict.comparedRequests()
                + " compared attempts; strongest evidence against: " + verdict.evidence();
        if (step < StepPlan.lastStep()) {
            return state.withStep(RolloutState.Phase.RUNNING, step, nowMillis, detail);
        }
        RolloutState.Phase outcome =
                nowMillis <= state.completeByMillis() ? RolloutState.Phase.COMPLETED : RolloutState.Phase.LATE;
        return state.withStep(outcome, step, nowMillis, detail);
    }
}
