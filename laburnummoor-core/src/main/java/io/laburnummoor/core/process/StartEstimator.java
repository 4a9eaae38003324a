package io.laburnummoor.core.process;

import io.laburnummoor.core.Snapshot;

/**
 * Predicts when a waiting request of one service could start, from the rate at which requests of the service end. Time
 * is passed in. Used by a gateway's event loops concurrently.
 */
public final class StartEstimator {
    /** Value of a prediction for which too few requests have ended. */
    public static final long UNKNOWN_MILLIS = -1;

    /** Time in which the weight of an end falls by a factor of e; a stream takes up to this time. */
    private static final double MEMORY_MILLIS = 10_000;
    /** Ends that a prediction needs: the interval between two says little about the rate. */
    private static final double MIN_ENDS = 4;
    /** Shortest time over which ends are counted, so that the first few do not count as a high rate. */
    private static final double MIN_OBSERVED_MILLIS = 1_000;

    private static final double RUN_TIME_WEIGHT = 0.1;

    private final Snapshot<Observed> observed = new Snapshot<>(new Observed(0, 0, 0, 0));

    /** Records that a request has ended, which freed its place. */
    public void recordEnd(long runMillis, long nowMillis) {
        observed.update(before -> before.withEnd(runMillis, nowMillis));
    }

    /** Returns the mean time that requests have run, 0 if none has ended. */
    public long meanRunMillis() {
        return Math.round(observed.get().meanRunMillis);
    }

    /**
     * Returns the predicted time until a request starts, or {@link #UNKNOWN_MILLIS}. A router with few requests of its
     * own sees few of the ends; the running requests of all routers then tell how many places become free, of which
     * each router gets its share.
     *
     * @param ahead number of waiting requests that are served before
     * @param runningCount running requests of the service over all routers, as far as known
     * @param routerCount number of routers, this one included
     */
    public long startInMillis(int ahead, int runningCount, int routerCount, long nowMillis) {
        Observed now = observed.get();
        if (now.endsAt(nowMillis) < MIN_ENDS) {
            return UNKNOWN_MILLIS;
        }
        double sharedRate = runningCount / Math.max(1, now.meanRunMillis) / Math.max(1, routerCount);
        return Math.round((ahead + 1) / Math.max(now.endsPerMilli(nowMillis), sharedRate));
    }

    /**
     * Observed ends.
     *
     * @param ends number of ends, each with a weight that falls with its age; as of the last one
     * @param firstMillis time of the first end
     * @param lastMillis time of the last end
     * @param meanRunMillis moving average of the run times
     */
    private record Observed(double ends, long firstMillis, long lastMillis, double meanRunMillis) {
        Observed withEnd(long runMillis, long nowMillis) {
            if (ends == 0) {
                return new Observed(1, nowMillis, nowMillis, runMillis);
            }
            return new Observed(
                    endsAt(nowMillis) + 1,
                    firstMillis,
                    Math.max(lastMillis, nowMillis),
                    meanRunMillis + RUN_TIME_WEIGHT * (runMillis - meanRunMillis));
        }

        double endsAt(long nowMillis) {
            return ends * Math.exp(-Math.max(0, nowMillis - lastMillis) / MEMORY_MILLIS);
        }

        double endsPerMilli(long nowMillis) {
            double observedMillis = Math.max(MIN_OBSERVED_MILLIS, nowMillis - firstMillis);
            return endsAt(nowMillis) / (MEMORY_MILLIS * -Math.expm1(-observedMillis / MEMORY_MILLIS));
        }
    }
}
