package io.laburnummoor.core.version;

import java.util.Map;

/** Decides from evidence whether the new version of a rollout is worse than the old one; used by one thread. */
public interface VersionEvaluation {
    /** Adds the evidence of the next period of {@link EvidenceRecorder#PERIOD_MILLIS}. */
    void add(Map<Stratum, Comparison> period);

    /** Returns what the evidence so far shows. */
    Verdict verdict();

    /**
     * What the evidence shows.
     *
     * @param bad whether the new version is shown to be bad
     * @param suspicious whether the evidence is too doubtful for a step forward
     * @param comparedRequests number of attempts on the new version that could be compared
     * @param evidence the strongest evidence in words, with its figures
     */
    record Verdict(boolean bad, boolean suspicious, long comparedRequests, String evidence) {}
}
