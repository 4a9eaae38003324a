package io.laburnummoor.core.version;

/**
 * Collects one router's evidence of one rollout and applies the local brake on it.
 *
 * @param declaration the rollout
 * @param recorder evidence of the present period
 * @param halt brake on this router's own evidence
 */
public record RolloutObserver(RolloutDeclaration declaration, EvidenceRecorder recorder, RolloutHalt halt) {
    /**
     * Creates an observer without evidence.
     *
     * @param routerCount number of routers, among which the false-alarm rate is divided: each can stop the rollout
     */
    public static RolloutObserver create(RolloutDeclaration declaration, int routerCount) {
        EvaluationBounds bounds = EvaluationBounds.of(declaration).dividedAmong(routerCount);
        return new RolloutObserver(
                declaration, new EvidenceRecorder(), new RolloutHalt(new SequentialEvaluation(bounds)));
    }

    /** Records the end of an attempt, if it was on either version of the rollout. */
    void record(String service, String version, Stratum stratum, AttemptOutcome outcome) {
        if (service.equals(declaration.service())) {
            boolean isNew = version.equals(declaration.toVersion());
            if (isNew || version.equals(declaration.fromVersion())) {
                recorder.record(stratum, isNew, outcome);
            }
        }
    }
}
