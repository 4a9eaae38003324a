package io.laburnummoor.core.version;

import org.jspecify.annotations.Nullable;

/** The transitions of a rollout. They depend on nothing but their arguments, so they can be tried again safely. */
public final class RolloutRules {
    /** Attempts on the new version that must have been compared during a step before the next one. */
    public static final long MIN_COMPARED_REQUESTS = 30;

    private final long minStepMillis;

    /** Creates rules with the shortest time between two steps. */
    public RolloutRules(long minStepMillis) {
        this.minStepMillis = minStepMillis;
    }

    /**
     * Returns the next state, or null if nothing changes now.
     *
     * @param verdict what the evidence of the controller shows
     * @param comparedInStep attempts on the new version compared since the present step
     * @param stopReason why the rollout has to be rolled back regardless of the verdict, or null: the brake of a router
     *     or an operator
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
