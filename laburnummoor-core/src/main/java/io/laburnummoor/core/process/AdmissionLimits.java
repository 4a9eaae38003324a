package io.laburnummoor.core.process;

/** This router's part of the limits in force. */
public interface AdmissionLimits {
    /** Returns how many requests of a service this router may run at once. */
    int serviceConcurrency(String service);

    /** Returns how many requests of an organisation this router may run at once, at least 1. */
    int organisationConcurrency(String organisation);

    /** Returns the rate of tokens that an organisation may generate through this router. */
    double organisationTokensPerSecond(String organisation);
}
