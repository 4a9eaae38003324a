package io.laburnummoor.core.process;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries of idempotent calls to a fraction of the successful calls, so that the loss of a failure domain does
 * not multiply the load on the others. One instance counts the calls of a router to all services; it is used by any
 * thread.
 *
 * <p>The budget is a token bucket: a success adds {@link #SUCCESS_CREDIT}, a retry takes {@link #RETRY_COST}.
 */
public final class CallRetryBudget {
    private static final long RETRY_COST = 10;
    private static final long SUCCESS_CREDIT = 1;
    /** Balance at the start and upper bound, enough for 100 retries. */
    private static final long CAPACITY = 100 * RETRY_COST;

    private final AtomicLong balance = new AtomicLong(CAPACITY);

    /** Counts a success, which adds a tenth of the cost of a retry. */
    public void recordSuccess() {
        balance.updateAndGet(before -> Math.min(CAPACITY, before + SUCCESS_CREDIT));
    }

    /** Takes the cost of a retry; returns false if the budget is exhausted. */
    public boolean tryAcquire() {
        long before = balance.getAndUpdate(current -> current >= RETRY_COST ? current - RETRY_COST : current);
        return before >= RETRY_COST;
    }
}
