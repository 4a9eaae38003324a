package io.laburnummoor.core.process;

import io.laburnummoor.core.request.Priority;

/**
 * How long and how many requests may wait for admission on one router.
 *
 * @param maxInteractiveWaitMillis longest wait of interactive and resumed requests
 * @param maxBatchWaitMillis longest wait of batch requests
 * @param maxQueued greatest number of waiting requests
 */
public record AdmissionPolicy(long maxInteractiveWaitMillis, long maxBatchWaitMillis, int maxQueued) {
    /** Waits that today's callers accept, and a queue that takes about 1 MB at bodies of 1 KB. */
    public static final AdmissionPolicy DEFAULT = new AdmissionPolicy(2_000, 30_000, 1_000);

    /** Returns the longest wait of a priority class. */
    public long maxWaitMillis(Priority priority) {
        return priority == Priority.BATCH ? maxBatchWaitMillis : maxInteractiveWaitMillis;
    }
}
