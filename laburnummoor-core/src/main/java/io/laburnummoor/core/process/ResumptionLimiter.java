package io.laburnummoor.core.process;

import java.util.Comparator;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;

/**
 * Limits how many resumptions wait for their first token at the same time, so that the loss of a failure domain does
 * not fill the remaining engines with prefills and starve new requests. Resumptions over the bound wait in the order of
 * their deadlines. One instance serves all generations of a router, on any thread.
 *
 * <pre>{@code
 * ResumptionLimiter.Permit permit = limiter.request(deadlineMillis, () -> startAttempt());
 * permit.release(); // at the first token or when the attempt has ended, also if the permit is still waiting
 * }</pre>
 */
public final class ResumptionLimiter {
    private static final Comparator<Permit> BY_DEADLINE = Comparator.<Permit>comparingLong(
                    permit -> permit.deadlineMillis)
            .thenComparingLong(permit -> permit.sequence);

    private final IntSupplier limit;
    private final AtomicInteger grantedCount = new AtomicInteger();
    private final AtomicLong lastSequence = new AtomicLong();
    private final ConcurrentSkipListSet<Permit> waiting = new ConcurrentSkipListSet<>(BY_DEADLINE);

    /**
     * Creates a limiter without resumptions.
     *
     * @param limit current bound, read for each decision; a bound below 1 counts as 1
     */
    public ResumptionLimiter(IntSupplier limit) {
        this.limit = limit;
    }

    /**
     * Requests a permit; the task runs once it is granted, in the calling thread or in one that releases a permit.
     *
     * @param deadlineMillis time by which the resumption has to succeed; the earliest is served first
     */
    public Permit request(long deadlineMillis, Runnable task) {
        Permit permit = new Permit(deadlineMillis, lastSequence.incrementAndGet(), task);
        waiting.add(permit);
        grantWaiting();
        return permit;
    }

    /** Returns the number of permits that are granted and not released. */
    public int grantedCount() {
        return grantedCount.get();
    }

    /** Returns the number of waiting resumptions. */
    public int waitingCount() {
        return waiting.size();
    }

    private void grantWaiting() {
        while (!waiting.isEmpty() && tryIncrement()) {
            Permit next = waiting.pollFirst();
            if (next == null) {
                // Another thread took the last permit; the next iteration sees one that was added meanwhile.
                grantedCount.decrementAndGet();
            } else {
                next.grant();
            }
        }
    }

    private boolean tryIncrement() {
        int bound = Math.max(1, limit.getAsInt());
        int before = grantedCount.getAndUpdate(count -> count < bound ? count + 1 : count);
        return before < bound;
    }

    /** The permit of one resumption, which first waits and is then granted. */
    public final class Permit {
        private static final int WAITING = 0;
        private static final int GRANTED = 1;
        private static final int RELEASED = 2;

        private final long deadlineMillis;
        private final long sequence;
        private final Runnable task;
        private final AtomicInteger state = new AtomicInteger(WAITING);

        private Permit(long deadlineMillis, long sequence, Runnable task) {
            this.deadlineMillis = deadlineMillis;
            this.sequence = sequence;
            this.task = task;
        }

        /** Releases the permit or leaves the queue; further calls have no effect. */
        public void release() {
            int before = state.getAndSet(RELEASED);
            if (before == WAITING) {
                waiting.remove(this);
            } else if (before == GRANTED) {
                grantedCount.decrementAndGet();
                grantWaiting();
            }
        }

        private void grant() {
            if (state.compareAndSet(WAITING, GRANTED)) {
                task.run();
            } else {
                grantedCount.decrementAndGet();
            }
        }
    }
}
