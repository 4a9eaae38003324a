package io.laburnummoor.core.version;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/**
 * Collects outcomes of attempts on both versions of one rollout; called on the path of a request without a lock.
 *
 * <p>An attempt that ends while a period is drained may not be counted. This affects both versions alike.
 */
public final class EvidenceRecorder {
    /** Length of a period. */
    public static final long PERIOD_MILLIS = 1_000;

    private final AtomicReference<ConcurrentHashMap<Stratum, Counters[]>> current =
            new AtomicReference<>(new ConcurrentHashMap<>());

    /** Adds the outcome of an attempt to the current period. */
    public void record(Stratum stratum, boolean isNewVersion, AttemptOutcome outcome) {
        Counters[] countersByVersion = Objects.requireNonNull(current.get())
                .computeIfAbsent(stratum, added -> new Counters[] {new Counters(), new Counters()});
        countersByVersion[isNewVersion ? 1 : 0].add(outcome);
    }

    /** Ends the current period and returns its evidence. */
    public Map<Stratum, Comparison> drain() {
        return Objects.requireNonNull(current.getAndSet(new ConcurrentHashMap<>())).entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey,
                        each -> new Comparison(each.getValue()[0].sample(), each.getValue()[1].sample())));
    }

    /** Counters of one version in one stratum. */
    private static final class Counters {
        private final LongAdder requests = new LongAdder();
        private final LongAdder errors = new LongAdder();
        private final LongAdder losses = new LongAdder();
        private final AtomicIntegerArray timesToFirstToken = new AtomicIntegerArray(LatencyHistogram.BUCKET_COUNT);
        private final AtomicIntegerArray interTokenLatencies = new AtomicIntegerArray(LatencyHistogram.BUCKET_COUNT);

        void add(AttemptOutcome outcome) {
            requests.increment();
            if (outcome.end() == AttemptOutcome.End.ERROR) {
                errors.increment();
            } else if (outcome.end() == AttemptOutcome.End.LOST) {
                losses.increment();
            }
            if (outcome.timeToFirstTokenMicros() > 0) {
                timesToFirstToken.incrementAndGet(LatencyHistogram.bucketOf(outcome.timeToFirstTokenMicros()));
            }
            if (outcome.interTokenLatencyMicros() > 0) {
                interTokenLatencies.incrementAndGet(LatencyHistogram.bucketOf(outcome.interTokenLatencyMicros()));
            }
        }

        VersionSample sample() {
            return new VersionSample(
                    requests.sum(),
                    errors.sum(),
                    losses.sum(),
                    histogram(timesToFirstToken),
                    histogram(interTokenLatencies));
        }

        private static LatencyHistogram histogram(AtomicIntegerArray buckets) {
            int[] values = new int[LatencyHistogram.BUCKET_COUNT];
            for (int i = 0; i < values.length; i++) {
                values[i] = buckets.get(i);
            }
            return LatencyHistogram.of(values);
        }
    }
}
