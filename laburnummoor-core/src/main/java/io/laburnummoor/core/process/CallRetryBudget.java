package io.laburnummoor.core.process;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds repetitions of idempotent calls to a fraction of the calls that succeed, so that the loss of a failure domain
 * does not multiply the load on the others.
 */
public final class CallRetryBudget {
    private static final long RETRY_COST = 10;
    private static final long SUCCESS_CREDIT = 1;
    private static final long CAPACITY = 100 * RETRY_COST;

    private final AtomicLong balance = new AtomicLong(CAPACITY);

    /** Counts a success, which pays a tenth of a repetition. */
    public void recordSuccess() {
        balance.updateAndGet(before -> Math.min(CAPACITY, before + SUCCESS_CREDIT));
    }

    /** Takes the cost of a repetition; returns false if the budget is used up. */
    public boolean tryAcquire() {
        long before = balance.getAndUpdate(current -> current >= RETRY_COST ? current - RETRY_COST : current);
        return before >= RETRY_COST;
    }
}
