package io.laburnummoor.gateway.process;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.prometheus.metrics.core.datapoints.DataPoint;
import io.prometheus.metrics.core.metrics.StatefulMetric;

/**
 * Series of a metric whose first label is a name from the configuration. Their number is bounded, and those of names
 * that the configuration no longer has are removed, so that the process does not grow with each configuration.
 * Thread-safe.
 */
final class NamedSeries<D extends DataPoint> {
    /** Name under which series beyond the bound are counted. */
    static final String OTHER = "other";

    private final StatefulMetric<D, ? extends D> metric;
    private final int maxCount;
    private final ConcurrentHashMap<List<String>, D> seriesByLabels = new ConcurrentHashMap<>();

    NamedSeries(StatefulMetric<D, ? extends D> metric, int maxCount) {
        this.metric = metric;
        this.maxCount = maxCount;
    }

    /** Returns the series with the labels, or the one of {@link #OTHER} names if there are too many. */
    D of(String... labels) {
        List<String> key = List.of(labels);
        D known = seriesByLabels.get(key);
        if (known != null) {
            return known;
        }
        if (seriesByLabels.size() >= maxCount) {
            labels[0] = OTHER;
            return metric.labelValues(labels);
        }
        return seriesByLabels.computeIfAbsent(key, same -> metric.labelValues(labels));
    }

    /** Removes the series of all other names. */
    void retainNames(Set<String> names) {
        for (List<String> each : seriesByLabels.keySet()) {
            if (!names.contains(each.get(0))) {
                seriesByLabels.computeIfPresent(each, (same, series) -> {
                    metric.remove(same.toArray(String[]::new));
                    return null;
                });
            }
        }
    }
}
