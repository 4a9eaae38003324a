package io.laburnummoor.core.connection;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Number of requests that one engine should have at once, learned from its reports.
 *
 * <p>While requests wait in the engine, its running count is what it can run; the target is that count and a small
 * reserve that keeps its batch full between reports. While none waits and it is nearly full, the target grows.
 */
final class ConcurrencyTarget {
    /** Target of an engine that has not reported a queue yet. */
    static final int INITIAL = 64;

    private static final int RESERVE_DIVISOR = 8;

    private final AtomicInteger target = new AtomicInteger(INITIAL);

    int get() {
        return target.get();
    }

    void record(int runningCount, int waitingCount) {
        target.updateAndGet(before -> {
            if (waitingCount > 0 && runningCount > 0) {
                return runningCount + reserve(runningCount);
            }
            boolean nearlyFull = runningCount >= before - reserve(before);
            return nearlyFull ? before + reserve(before) : before;
        });
    }

    private static int reserve(int count) {
        return Math.max(1, count / RESERVE_DIVISOR);
    }
}
