package io.laburnummoor.core.version;

import java.util.Map;

/** Evaluates whether the new version of a rollout is worse than the old one; not thread-safe. */
public interface VersionEvaluation {
    /** Adds the evidence of the next period of {@link EvidenceRecorder#PERIOD_MILLIS}. */
    void add(Map<Stratum, Comparison> period);

    /** Returns the verdict on the evidence so far. */
    Verdict verdict();

    /**
     * Verdict on the new version.
     *
     * @param bad whether the new version is shown to be bad
     * @param suspicious whether the evidence is too unfavourable to increase the traffic share
     * @param comparedRequests number of compared attempts on the new version
     * @param evidence description of the strongest evidence, with its numbers
     */
    record Verdict(boolean bad, boolean suspicious, long comparedRequests, String evidence) {}
}
