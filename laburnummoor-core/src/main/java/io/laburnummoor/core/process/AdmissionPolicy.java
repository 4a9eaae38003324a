package io.laburnummoor.core.process;

import io.laburnummoor.core.request.Priority;

/**
 * Bounds on the waiting time and on the number of requests in a router's admission queue.
 *
 * @param maxInteractiveWaitMillis longest wait of interactive and resumed requests
 * @param maxBatchWaitMillis longest wait of batch requests
 * @param maxQueued greatest number of waiting requests
 */
public record AdmissionPolicy(long maxInteractiveWaitMillis, long maxBatchWaitMillis, int maxQueued) {
    /** Waiting times that callers tolerate, and a queue of about 1 MB with request bodies of 1 KB. */
    public static final AdmissionPolicy DEFAULT = new AdmissionPolicy(2_000, 30_000, 1_000);

    /** Returns the longest wait of a priority class. */
    public long maxWaitMillis(Priority priority) {
        return priority == Priority.BATCH ? maxBatchWaitMillis : maxInteractiveWaitMillis;
    }
}
