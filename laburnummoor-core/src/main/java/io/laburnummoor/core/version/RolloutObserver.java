package io.laburnummoor.core.version;

/**
 * One router's evidence of one rollout, and the halt that depends on it.
 *
 * @param declaration the rollout
 * @param recorder evidence of the current period
 * @param halt halt of the rollout on this router's own evidence
 */
public record RolloutObserver(RolloutDeclaration declaration, EvidenceRecorder recorder, RolloutHalt halt) {
    /**
     * Creates an observer without evidence.
     *
     * @param routerCount number of routers that share the false-alarm rate, because each of them can halt the rollout
     */
    public static RolloutObserver create(RolloutDeclaration declaration, int routerCount) {
        EvaluationBounds bounds = EvaluationBounds.of(declaration).dividedAmong(routerCount);
        return new RolloutObserver(
                declaration, new EvidenceRecorder(), new RolloutHalt(new SequentialEvaluation(bounds)));
    }

    /** Records the outcome of an attempt if it ran on one of the two versions of the rollout. */
    void record(String service, String version, Stratum stratum, AttemptOutcome outcome) {
        if (service.equals(declaration.service())) {
            boolean isNew = version.equals(declaration.toVersion());
            if (isNew || version.equals(declaration.fromVersion())) {
                recorder.record(stratum, isNew, outcome);
            }
        }
    }
}
