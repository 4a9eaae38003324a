package io.laburnummoor.bench.process;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedLoad;
import io.laburnummoor.core.connection.ReportedPace;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.process.CapacityLedger;
import io.laburnummoor.core.process.DomainOutageDetector;
import io.laburnummoor.core.process.InstanceSelector;
import io.laburnummoor.core.process.InstanceTable;
import io.laburnummoor.core.process.OrderedRollouts;
import io.laburnummoor.core.process.PeerLoads;
import io.laburnummoor.core.process.RequestWork;
import io.laburnummoor.core.process.RouterLoad;
import io.laburnummoor.core.version.ForwardService;

/** Measures the selection of an engine by each policy, and the processing of other routers' reports, on one thread. */
final class PlacementScenario implements Scenario {
    private static final double MAX_SELECTION_MICROS = 20;
    private static final int BOUNDED_ENGINES = 138;
    private static final int[][] ENGINES_AND_ROUTERS = {{BOUNDED_ENGINES, 30}, {2_000, 400}};
    private static final int LOADS_PER_REPORT = 48;
    private static final int SELECTIONS = 20_000;
    private static final int REPORTS = 4_000;
    private static final int DOMAINS = 6;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final long NOW = 100_000;
    private static final ForwardService SERVICE = new ForwardService("drafter", 310, true, 64, 88_000, false);

    private final ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
    private boolean pass = true;

    @Override
    public ScenarioResult run(long seed) {
        for (int[] size : ENGINES_AND_ROUTERS) {
            Random random = new Random(seed);
            for (boolean pace : new boolean[] {false, true}) {
                measure(size[0], size[1], pace, random);
            }
        }
        return new ScenarioResult(0, pass, figures);
    }

    private void measure(int engines, int routers, boolean pace, Random random) {
        InstanceTable table = table(engines, pace, random);
        String prefix = engines + "_engines_" + routers + "_routers_" + (pace ? "expected_time" : "request_count");
        PeerLoads peers = new PeerLoads();
        double[] recordMicros = new double[REPORTS];
        for (int i = 0; i < REPORTS; i++) {
            RouterLoad report = report(i % routers, i, engines, pace, random);
            long startNanos = System.nanoTime();
            peers.record(report, NOW);
            table.recordPaces(report.paces(), NOW);
            recordMicros[i] = (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
        }
        InstanceSelector selector =
                new InstanceSelector("router-0", "domain-0", new DomainOutageDetector(), peers, new OrderedRollouts());
        double[] micros = new double[SELECTIONS];
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < SELECTIONS; i++) {
                RequestWork work = new RequestWork(8_200, 980, 4_013, 0, random.nextDouble());
                InstanceSelector.Criteria criteria =
                        new InstanceSelector.Criteria(SERVICE, Set.of(), List.of(), 0.5, false, work);
                long startNanos = System.nanoTime();
                selector.select(table, criteria, NOW);
                micros[i] = (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
            }
        }
        double selection = median(micros);
        figures.put(prefix + "_select_micros", selection);
        figures.put(prefix + "_record_report_micros", median(recordMicros));
        figures.put(prefix + "_capacity_of_all_micros", capacityMicros(table, peers));
        pass &= engines > BOUNDED_ENGINES || selection < MAX_SELECTION_MICROS;
    }

    private static double capacityMicros(InstanceTable table, PeerLoads peers) {
        CapacityLedger ledger = new CapacityLedger(peers);
        double[] micros = new double[SELECTIONS / 10];
        for (int i = 0; i < micros.length; i++) {
            long startNanos = System.nanoTime();
            for (InstanceState each : table.all()) {
                if (ledger.of(each, SERVICE, NOW).freeSlots() > SERVICE.slots()) {
                    throw new IllegalStateException("more free slots than there are");
                }
            }
            micros[i] = (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
        }
        return median(micros);
    }

    private static InstanceTable table(int engines, boolean pace, Random random) {
        List<InstanceState> states = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            InstanceState state = new InstanceState(new UpstreamInstance(
                    "i-" + i, SERVICE.name(), "domain-" + i % DOMAINS, "10.0.0.1", 80, "v1", 64, false, 0, 1, 1));
            int pacePercent = pace ? 60 + random.nextInt(200) : 0;
            state.recordReportedLoad(new ReportedLoad(random.nextInt(12), 0, 64, pacePercent), NOW - i % 1_000);
            states.add(state);
        }
        return new InstanceTable(states);
    }

    private static RouterLoad report(int router, long sequence, int engines, boolean pace, Random random) {
        Map<String, UpstreamLoad> loads = new HashMap<>();
        List<ReportedPace> paces = new ArrayList<>();
        for (int i = 0; i < LOADS_PER_REPORT; i++) {
            String id = "i-" + random.nextInt(engines);
            loads.put(id, new UpstreamLoad(1, random.nextInt(2) * 8_200L, 9_180));
            if (pace && i % 8 == 0) {
                paces.add(new ReportedPace(id, 100, 100, i));
            }
        }
        return new RouterLoad("router-" + router, 1, sequence, Map.of(), List.of(), List.of(), List.of(), loads, paces);
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return Math.round(sorted[sorted.length / 2] * 100) / 100.0;
    }
}
