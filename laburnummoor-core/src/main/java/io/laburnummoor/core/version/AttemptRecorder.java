package io.laburnummoor.core.version;

/** Records outcomes of attempts; called once for each attempt, by any thread. */
public interface AttemptRecorder {
    /** Records the outcome of an attempt on a version of a service. */
    void record(String service, String version, Stratum stratum, AttemptOutcome outcome);
}
