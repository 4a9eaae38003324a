package io.laburnummoor.wire.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.version.Comparison;
import io.laburnummoor.core.version.LatencyHistogram;
import io.laburnummoor.core.version.LoadLevel;
import io.laburnummoor.core.version.Stratum;
import io.laburnummoor.core.version.VersionSample;
import io.laburnummoor.wire.generated.WireComparison;
import io.laburnummoor.wire.generated.WireSample;

/** Translates evidence about rollouts to and from Thrift messages. */
public final class EvidenceMessages {
    private EvidenceMessages() {}

    /** Returns the message of one period. */
    public static List<WireComparison> toWire(Map<Stratum, Comparison> period) {
        List<WireComparison> messages = new ArrayList<>(period.size());
        period.forEach((stratum, comparison) -> messages.add(new WireComparison(
                stratum.route(),
                stratum.loadLevel().name(),
                stratum.failureDomain(),
                sample(comparison.before()),
                sample(comparison.after()))));
        return messages;
    }

    /** Returns the evidence of a message. */
    public static Map<Stratum, Comparison> fromWire(List<WireComparison> messages) {
        Map<Stratum, Comparison> period = new HashMap<>();
        for (WireComparison each : messages) {
            Stratum stratum =
                    new Stratum(each.getRoute(), LoadLevel.valueOf(each.getLoadLevel()), each.getFailureDomain());
            period.merge(stratum, new Comparison(sample(each.getBefore()), sample(each.getAfter())), Comparison::plus);
        }
        return period;
    }

    private static WireSample sample(VersionSample sample) {
        return new WireSample(
                sample.requests(),
                sample.errors(),
                sample.losses(),
                buckets(sample.timesToFirstToken()),
                buckets(sample.interTokenLatencies()));
    }

    private static VersionSample sample(WireSample message) {
        return new VersionSample(
                message.getRequests(),
                message.getErrors(),
                message.getLosses(),
                counts(message.getFirstTokens()),
                counts(message.getGaps()));
    }

    private static Map<Integer, Integer> buckets(LatencyHistogram counts) {
        Map<Integer, Integer> buckets = new HashMap<>();
        int[] values = counts.toArray();
        for (int i = 0; i < values.length; i++) {
            if (values[i] > 0) {
                buckets.put(i, values[i]);
            }
        }
        return buckets;
    }

    private static LatencyHistogram counts(Map<Integer, Integer> buckets) {
        int[] values = new int[LatencyHistogram.BUCKET_COUNT];
        buckets.forEach((bucket, count) -> {
            if (bucket >= 0 && bucket < values.length) {
                values[bucket] = count;
            }
        });
        return LatencyHistogram.of(values);
    }
}
