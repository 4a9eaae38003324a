package io.laburnummoor.core.connection;

import io.laburnummoor.core.Snapshot;

/**
 * Target number of concurrent requests for one engine, derived from the engine's load reports.
 *
 * <p>While requests wait in the engine, its running count equals its capacity. The target is then the greater of the
 * last two such counts plus a small reserve. Two counts are used because a report may fall between the end of one
 * request and the start of the next; the reserve keeps the batch full between reports. While no request waits and the
 * engine is nearly full, the target grows.
 */
final class ConcurrencyTarget {
    /** Target of an engine that has not reported waiting requests yet. */
    static final int INITIAL = 64;

    /** The reserve is an eighth of the capacity or target, at least one request. */
    private static final int RESERVE_DIVISOR = 8;

    private final Snapshot<State> state = new Snapshot<>(new State(INITIAL, 0));

    int get() {
        return state.get().target;
    }

    void record(int runningCount, int waitingCount) {
        state.update(before -> {
            if (waitingCount > 0 && runningCount > 0) {
                int capacity = Math.max(runningCount, before.lastQueuedRunningCount);
                return new State(capacity + reserve(capacity), runningCount);
            }
            int reserve = reserve(before.target);
            boolean nearlyFull = runningCount >= before.target - reserve;
            return nearlyFull ? new State(before.target + reserve, before.lastQueuedRunningCount) : before;
        });
    }

    /**
     * Current estimate.
     *
     * @param target target number of concurrent requests
     * @param lastQueuedRunningCount running count of the last report with waiting requests
     */
    private record State(int target, int lastQueuedRunningCount) {}

    private static int reserve(int count) {
        return Math.max(1, count / RESERVE_DIVISOR);
    }
}
