package io.laburnummoor.bench.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.laburnummoor.core.version.Comparison;
import io.laburnummoor.core.version.LatencyHistogram;
import io.laburnummoor.core.version.Stratum;
import io.laburnummoor.core.version.VersionEvaluation;

/**
 * The usual way, as a baseline for measurements: fixed thresholds on the error rate and the 95th percentile of
 * latencies over the last minute, for each route.
 */
final class FixedThresholdEvaluation implements VersionEvaluation {
    private static final int WINDOW_PERIODS = 60;
    private static final double MAX_INCREASE = 0.02;
    private static final double MAX_RATIO = 1.5;
    private static final double TAIL_FRACTION = 0.05;

    private final Deque<Map<String, Comparison>> window = new ArrayDeque<>();
    private final long minRequests;
    private boolean bad;
    private long compared;

    /** Creates an evaluation that compares once both versions have had this number of requests in the window. */
    FixedThresholdEvaluation(long minRequests) {
        this.minRequests = minRequests;
    }

    @Override
    public void add(Map<Stratum, Comparison> period) {
        Map<String, Comparison> byRoute = new HashMap<>();
        period.forEach((stratum, comparison) -> byRoute.merge(stratum.route(), comparison, Comparison::plus));
        window.addLast(byRoute);
        if (window.size() > WINDOW_PERIODS) {
            window.removeFirst();
        }
        Map<String, Comparison> totals = new HashMap<>();
        window.forEach(each -> each.forEach((route, total) -> totals.merge(route, total, Comparison::plus)));
        byRoute.values().forEach(each -> compared += each.after().requests());
        totals.values().forEach(each -> bad |= isWorse(each));
    }

    @Override
    public Verdict verdict() {
        return new Verdict(bad, false, compared, "fixed thresholds");
    }

    private boolean isWorse(Comparison total) {
        if (total.after().requests() < minRequests || total.before().requests() < minRequests) {
            return false;
        }
        double after = (double) (total.after().errors() + total.after().losses())
                / total.after().requests();
        double before = (double) (total.before().errors() + total.before().losses())
                / total.before().requests();
        return after > before + MAX_INCREASE
                || isSlower(total.before().timesToFirstToken(), total.after().timesToFirstToken())
                || isSlower(total.before().interTokenLatencies(), total.after().interTokenLatencies());
    }

    private boolean isSlower(LatencyHistogram before, LatencyHistogram after) {
        if (before.total() < minRequests || after.total() < minRequests) {
            return false;
        }
        return after.tailBucket(TAIL_FRACTION)
                >= before.tailBucket(TAIL_FRACTION) + LatencyHistogram.bucketSpan(MAX_RATIO);
    }
}
