package io.laburnummoor.core.process;

/** This router's share of the limits in force, as read by the {@link AdmissionScheduler} for each decision. */
public interface AdmissionLimits {
    /** Returns how many requests of a service this router may run concurrently. */
    int serviceConcurrency(String service);

    /** Returns how many requests of an organisation this router may run concurrently, at least 1. */
    int organisationConcurrency(String organisation);

    /** Returns how many tokens per second an organisation may generate through this router. */
    double organisationTokensPerSecond(String organisation);
}
