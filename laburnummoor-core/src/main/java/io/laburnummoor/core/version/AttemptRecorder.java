package io.laburnummoor.core.version;

/** Learns how attempts end; called once for each attempt, by any thread. */
public interface AttemptRecorder {
    /** Records the end of an attempt on a version of a service. */
    void record(String service, String version, Stratum stratum, AttemptOutcome outcome);
}
