package io.laburnummoor.bench.process;

import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.ThreadMXBean;
import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedLoad;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.process.CapacityLedger;
import io.laburnummoor.core.process.PeerLoads;
import io.laburnummoor.core.process.RouterLoad;
import io.laburnummoor.core.process.ServiceLoad;
import io.laburnummoor.core.process.StartEstimator;
import io.laburnummoor.core.process.WaitPolicy;
import io.laburnummoor.core.process.WaitingQueue;
import io.laburnummoor.core.request.Urgency;
import io.laburnummoor.core.request.WaitingRequest;
import io.laburnummoor.core.version.ForwardService;
import org.HdrHistogram.Histogram;

/**
 * Measures the decisions of the waiting queue of one router in one thread, without a network: whether a request has to
 * wait and for how long while all engines are full, and which request gets a place that has become free.
 */
final class WaitingDecisionScenario implements Scenario {
    private static final int WARM_UP_COUNT = 10_000;
    private static final int MEASURED_COUNT = 10_000;
    private static final long MAX_MEDIAN_NANOS = 20_000;
    private static final long MAX_RECORDED_NANOS = 1_000_000_000;
    /** Bytes that a decision may allocate more with ten times as many waiting requests. */
    private static final long MAX_MORE_BYTES = 1_024;

    private static final int ENGINES = 138;
    private static final int ROUTERS = 29;

    @Override
    public ScenarioResult run(long seed) {
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        ArrayNode runs = figures.putArray("runs");
        Outcome few = new Simulation(ENGINES, ROUTERS, 100, new SplittableRandom(seed)).run(runs);
        Outcome many = new Simulation(ENGINES, ROUTERS, 1_000, new SplittableRandom(seed)).run(runs);
        new Simulation(2_000, 400, 1_000, new SplittableRandom(seed)).run(runs);
        long violations = many.waitMedianNanos > MAX_MEDIAN_NANOS ? 1 : 0;
        violations += many.grantMedianNanos > MAX_MEDIAN_NANOS ? 1 : 0;
        violations += many.bytesPerDecision > few.bytesPerDecision + MAX_MORE_BYTES ? 1 : 0;
        figures.put("bound_median_ns", MAX_MEDIAN_NANOS);
        return new ScenarioResult(violations, violations == 0, figures);
    }

    private record Outcome(long waitMedianNanos, long grantMedianNanos, long bytesPerDecision) {}

    private static final class Simulation {
        private static final ForwardService SERVICE = new ForwardService("desk", 100, true, 64, 88_000, true);
        private static final int REQUESTS_PER_ENGINE = 10;
        private static final long MEAN_TOKENS = 8_500;
        private static final int ORGANISATIONS = 8;
        private static final int CALLERS = 6;

        private final SplittableRandom random;
        private final int waitingCount;
        private final int routers;
        private final List<InstanceState> engines = new ArrayList<>();
        private final List<ArrayDeque<Long>> runningTokens = new ArrayList<>();
        private final CapacityLedger ledger;
        private final StartEstimator estimator = new StartEstimator();
        private final WaitingQueue queue = new WaitingQueue(2_000, Long.MAX_VALUE / 2);
        private final Histogram waitNanos = new Histogram(MAX_RECORDED_NANOS, 3);
        private final Histogram grantNanos = new Histogram(MAX_RECORDED_NANOS, 3);
        private long now = 1_000_000;

        Simulation(int engineCount, int routers, int waitingCount, SplittableRandom random) {
            this.random = random;
            this.waitingCount = waitingCount;
            this.routers = routers;
            PeerLoads peers = new PeerLoads();
            for (int i = 0; i < engineCount; i++) {
                InstanceState engine = new InstanceState(new UpstreamInstance(
                        "e-" + i, "desk", "domain-" + i % 4, "127.0.0.1", 1_024 + i, "v1", 64, false, 0, 1, 1));
                engine.recordReportedLoad(new ReportedLoad(REQUESTS_PER_ENGINE, 0), now);
                engines.add(engine);
                runningTokens.add(new ArrayDeque<>());
                for (int request = 0; request < REQUESTS_PER_ENGINE; request++) {
                    start(i, MEAN_TOKENS);
                }
            }
            for (int i = 1; i < routers; i++) {
                peers.record(load("router-" + i, i), now);
            }
            this.ledger = new CapacityLedger(peers);
            for (int i = 100; i > 0; i--) {
                estimator.recordEnd(9_000, now - 100 * i);
            }
        }

        private RouterLoad load(String router, int number) {
            String engine = "e-" + number % engines.size();
            return new RouterLoad(
                    router,
                    1,
                    1,
                    Map.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    Map.of(engine, new UpstreamLoad(1, 0, 100)));
        }

        private void start(int engine, long tokens) {
            engines.get(engine).requestStarted(tokens);
            engines.get(engine).prefillEnded(tokens);
            runningTokens.get(engine).addLast(tokens);
        }

        private int endOne() {
            int engine = random.nextInt(engines.size());
            engines.get(engine).requestEnded(runningTokens.get(engine).removeFirst());
            return engine;
        }

        private WaitingRequest newRequest() {
            long tokens = Math.round(MEAN_TOKENS * (0.7 + 0.6 * random.nextDouble()));
            boolean urgent = random.nextInt(10) == 0;
            return new WaitingRequest(
                    "desk",
                    new Urgency(urgent ? 0 : 2),
                    "organisation-" + random.nextInt(ORGANISATIONS),
                    "caller-" + random.nextInt(CALLERS),
                    tokens,
                    now,
                    now + (urgent ? 4_000 : 10_000),
                    32_768);
        }

        Outcome run(ArrayNode runs) {
            while (queue.size() < waitingCount) {
                queue.add(newRequest());
            }
            runDecisions(WARM_UP_COUNT);
            waitNanos.reset();
            grantNanos.reset();
            long bytes = runDecisions(MEASURED_COUNT) / MEASURED_COUNT;
            Outcome outcome =
                    new Outcome(waitNanos.getValueAtPercentile(50), grantNanos.getValueAtPercentile(50), bytes);
            runs.addObject()
                    .put("engines", engines.size())
                    .put("routers", routers)
                    .put("waiting", queue.size())
                    .put("wait_decision_median_ns", outcome.waitMedianNanos)
                    .put("wait_decision_p99_ns", waitNanos.getValueAtPercentile(99))
                    .put("grant_median_ns", outcome.grantMedianNanos)
                    .put("grant_p99_ns", grantNanos.getValueAtPercentile(99))
                    .put("allocated_bytes_per_wait_and_grant", outcome.bytesPerDecision);
            return outcome;
        }

        /** Runs as many decisions of each kind and returns the bytes that they allocated. */
        private long runDecisions(int count) {
            ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
            long bytes = 0;
            for (int i = 0; i < count; i++) {
                now += 1;
                engines.get(random.nextInt(engines.size()))
                        .recordReportedLoad(new ReportedLoad(REQUESTS_PER_ENGINE, 0), now);
                WaitingRequest arriving = newRequest();
                double draw = random.nextDouble();
                long bytesBefore = threads.getCurrentThreadAllocatedBytes();
                long start = System.nanoTime();
                decideWait(arriving, draw);
                waitNanos.recordValue(System.nanoTime() - start);
                bytes += threads.getCurrentThreadAllocatedBytes() - bytesBefore;

                int freed = endOne();
                WaitingRequest granted;
                do {
                    bytesBefore = threads.getCurrentThreadAllocatedBytes();
                    start = System.nanoTime();
                    granted = queue.grant(
                            "desk",
                            ServiceLoad.of(engines, SERVICE, ledger, now).roomTokens());
                    grantNanos.recordValue(System.nanoTime() - start);
                    bytes += threads.getCurrentThreadAllocatedBytes() - bytesBefore;
                    if (granted != null) {
                        start(freed, granted.tokens());
                    }
                } while (granted != null);
                keepWaitingCount(arriving);
            }
            return bytes;
        }

        /** The requests that start for one that ends are one on average only. */
        private void keepWaitingCount(WaitingRequest latest) {
            if (queue.size() > waitingCount) {
                queue.remove(latest);
            }
            while (queue.size() < waitingCount) {
                queue.add(newRequest());
            }
        }

        /** Decides about a request as the gateway does, and lets it wait in any case. */
        private void decideWait(WaitingRequest request, double draw) {
            if (!ledger.hasRoom(engines, SERVICE, request.tokens(), now)) {
                ServiceLoad load = ServiceLoad.of(engines, SERVICE, ledger, now);
                long startIn = estimator.startInMillis(queue.countAhead(request), load.runningCount(), routers, now);
                WaitPolicy.decide(startIn, estimator.meanRunMillis(), 25_000, 10_000, 0, draw);
            }
            queue.add(request);
        }
    }
}
