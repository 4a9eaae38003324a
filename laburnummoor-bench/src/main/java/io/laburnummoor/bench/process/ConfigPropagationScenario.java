package io.laburnummoor.bench.process;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.process.ConfigPublisher;
import io.laburnummoor.core.process.ConfigPublisher.Base;
import io.laburnummoor.core.version.ConfigEntry;
import org.HdrHistogram.Histogram;

/** Measures how long a change takes to be in force on every node, and its cost, at several numbers of nodes. */
final class ConfigPropagationScenario implements Scenario {
    private static final int[] NODE_COUNTS = {36, 108, 216};
    private static final int DOMAINS = 18;
    private static final int ORGANISATIONS = 500;
    private static final int CHANGES = 12;
    private static final long CHANGE_INTERVAL_MILLIS = 1_000;
    private static final long START_TIMEOUT_MILLIS = 30_000;
    /** The letter's target: a change is in effect everywhere within 13 s. */
    private static final long BOUND_MILLIS = 13_000;
    /** The letter's target for control traffic, of which the configuration is a part. */
    private static final double BOUND_BYTES_PER_SECOND = 10_000;

    @Override
    public ScenarioResult run(long seed) throws Exception {
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        boolean pass = true;
        long violations = 0;
        List<Double> medians = new ArrayList<>();
        for (int count : NODE_COUNTS) {
            Measurement result = measure(count);
            medians.add(result.allMillis.getMean());
            violations += result.late;
            pass &= result.late == 0
                    && result.allMillis.getMaxValue() <= BOUND_MILLIS
                    && result.maxBytesPerSecond <= BOUND_BYTES_PER_SECOND;
            String prefix = "nodes_" + count + "_";
            figures.put(prefix + "all_in_force_mean_millis", Math.round(result.allMillis.getMean()));
            figures.put(prefix + "all_in_force_max_millis", result.allMillis.getMaxValue());
            figures.put(prefix + "exchanged_mean_bytes_per_second", Math.round(result.meanBytesPerSecond));
            figures.put(prefix + "exchanged_max_bytes_per_second", Math.round(result.maxBytesPerSecond));
            figures.put(prefix + "store_calls_per_second", Math.round(result.storeCallsPerSecond * 10) / 10.0);
        }
        int last = NODE_COUNTS.length - 1;
        double slope = (medians.get(last) - medians.get(0)) / (NODE_COUNTS[last] - NODE_COUNTS[0]);
        figures.put("slope_millis_per_node", Math.round(slope * 100) / 100.0);
        figures.put("changes_per_second", 1_000.0 / CHANGE_INTERVAL_MILLIS);
        figures.put("bound_millis", BOUND_MILLIS).put("bound_bytes_per_second", BOUND_BYTES_PER_SECOND);
        return new ScenarioResult(violations, pass && violations == 0, figures);
    }

    private static Measurement measure(int nodeCount) throws InterruptedException {
        try (ConfigFleet fleet = new ConfigFleet(nodeCount, DOMAINS)) {
            fleet.platform().start();
            ConfigPublisher publisher = fleet.publisher();
            List<ConfigEntry> entries = new ArrayList<>();
            for (int i = 0; i < ORGANISATIONS; i++) {
                entries.add(ConfigFleet.organisation("office-" + i, 100));
            }
            publisher.publish(publisher.readBase(), entries, "first");
            fleet.nodes().forEach(ConfigNode::start);
            if (fleet.awaitMillis(1, START_TIMEOUT_MILLIS) < 0) {
                throw new IllegalStateException("nodes are not ready in time");
            }
            return measureChanges(fleet, publisher);
        }
    }

    private static Measurement measureChanges(ConfigFleet fleet, ConfigPublisher publisher)
            throws InterruptedException {
        Histogram allMillis = new Histogram(3);
        int late = 0;
        long[] bytesBefore =
                fleet.nodes().stream().mapToLong(ConfigNode::exchangedBytes).toArray();
        long callsBefore = fleet.platform().readCount() + fleet.platform().writeCount();
        long startNanos = System.nanoTime();
        for (int i = 0; i < CHANGES; i++) {
            long changeNanos = System.nanoTime();
            Base base = publisher.readBase();
            publisher.publish(
                    base,
                    ConfigFleet.with(base.state(), ConfigFleet.organisation("office-" + i, 200 + i)),
                    "change-" + i);
            boolean arrived = fleet.awaitMillis(base.state().revision() + 1, BOUND_MILLIS) >= 0;
            late += arrived ? 0 : 1;
            long elapsedMillis = (System.nanoTime() - changeNanos) / 1_000_000;
            allMillis.recordValue(elapsedMillis);
            Thread.sleep(Math.max(0, CHANGE_INTERVAL_MILLIS - elapsedMillis));
        }
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        double max = 0;
        double total = 0;
        for (int i = 0; i < bytesBefore.length; i++) {
            double rate = (fleet.nodes().get(i).exchangedBytes() - bytesBefore[i]) / seconds;
            max = Math.max(max, rate);
            total += rate;
        }
        long calls = fleet.platform().readCount() + fleet.platform().writeCount() - callsBefore;
        return new Measurement(allMillis, late, total / bytesBefore.length, max, calls / seconds);
    }

    private record Measurement(
            Histogram allMillis,
            int late,
            double meanBytesPerSecond,
            double maxBytesPerSecond,
            double storeCallsPerSecond) {}
}
