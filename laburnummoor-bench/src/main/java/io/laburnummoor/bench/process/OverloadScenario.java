package io.laburnummoor.bench.process;

import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.bench.request.StreamClient;

/**
 * Offers 1 ×, 2 × and 4 × of the engines' capacity and counts the answers that end before their deadline. Ten callers
 * send half of the capacity together; one flooding caller of the same organisation sends the rest.
 */
final class OverloadScenario implements Scenario {
    private static final int ENGINES_PER_DOMAIN = 2;
    private static final int SLOTS = 4;
    private static final int MAX_TOKENS = 40;
    private static final long FIRST_TOKEN_MILLIS = 50;
    private static final long GAP_MILLIS = 20;
    private static final long DEADLINE_MILLIS = 4_000;
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long MEASURED_MILLIS = 10_000;
    private static final int REPETITIONS = 2;
    private static final int[] LOADS = {1, 2, 4};
    private static final int CALLERS = 10;
    private static final String FLOODER = "flooder";

    private final Map<Integer, List<Phase>> phases = new TreeMap<>();
    private final AtomicInteger violations = new AtomicInteger();

    @Override
    public ScenarioResult run(long seed) throws Exception {
        EngineSettings settings = new EngineSettings("v1", FIRST_TOKEN_MILLIS, GAP_MILLIS, seed, SLOTS);
        SplittableRandom random = new SplittableRandom(seed);
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            for (int load : LOADS) {
                try (LocalDeployment deployment = new LocalDeployment(
                        List.of("sapporo", "asahikawa", "niseko"), ENGINES_PER_DOMAIN, 1, settings)) {
                    deployment.start();
                    Phase phase = offer(deployment, load, random);
                    phases.computeIfAbsent(load, added -> new ArrayList<>()).add(phase);
                }
            }
        }
        return result();
    }

    private static double capacityPerSecond(LocalDeployment deployment) {
        double answerMillis = FIRST_TOKEN_MILLIS + GAP_MILLIS * MAX_TOKENS;
        return deployment.engines().size() * SLOTS * 1_000 / answerMillis;
    }

    private Phase offer(LocalDeployment deployment, int load, SplittableRandom random) throws Exception {
        double capacity = capacityPerSecond(deployment);
        double callersPerSecond = capacity / 2;
        double offeredPerSecond = capacity * load;
        Phase phase = new Phase();
        ExecutorService threads = Executors.newCachedThreadPool();
        CheckedCaller caller = new CheckedCaller(HttpClient.newHttpClient(), "v1");
        List<Future<?>> calls = new ArrayList<>();
        long startNanos = System.nanoTime();
        double elapsedMillis = 0;
        for (int i = 0; elapsedMillis < WARM_UP_MILLIS + MEASURED_MILLIS; i++) {
            elapsedMillis += -Math.log(1 - random.nextDouble()) * 1_000 / offeredPerSecond;
            boolean normal = random.nextDouble() < callersPerSecond / offeredPerSecond;
            String name = normal ? "caller-" + random.nextInt(CALLERS) : FLOODER;
            int router = random.nextInt(deployment.routers().size());
            String prompt = "inspection report " + i;
            boolean measured = elapsedMillis >= WARM_UP_MILLIS;
            long waitMillis = (long) elapsedMillis - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            Thread.sleep(Math.max(0, waitMillis));
            calls.add(threads.submit(() -> {
                long sentNanos = System.nanoTime();
                StreamClient.StreamEnd end =
                        caller.call(deployment.routers().get(router).address(), name, prompt, MAX_TOKENS);
                if (end.reason().equals("wrong_token")) {
                    violations.incrementAndGet();
                }
                if (measured) {
                    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
                    phase.record(name, end, millis <= DEADLINE_MILLIS);
                }
                return null;
            }));
        }
        for (Future<?> each : calls) {
            each.get();
        }
        threads.shutdown();
        return phase;
    }

    private ScenarioResult result() {
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        figures.put("repetitions", REPETITIONS).put("deadline_millis", DEADLINE_MILLIS);
        Map<Integer, Double> goodputs = new TreeMap<>();
        phases.forEach((load, repeated) -> {
            double goodput = repeated.stream()
                    .mapToDouble(Phase::goodputPerSecond)
                    .average()
                    .orElse(0);
            goodputs.put(load, goodput);
            figures.put("goodput_" + load + "x_per_second", goodput);
            figures.put("callers_served_" + load + "x_ratio", average(repeated, phase -> phase.servedRatio(false)));
            figures.put("flooder_served_" + load + "x_ratio", average(repeated, phase -> phase.servedRatio(true)));
            repeated.forEach(phase ->
                    figures.withArray("goodputs_" + load + "x_per_second").add(phase.goodputPerSecond()));
            ObjectNode ends = figures.putObject("ends_" + load + "x");
            repeated.forEach(phase -> phase.ends.forEach(
                    (reason, count) -> ends.put(reason, ends.path(reason).asInt() + count.get())));
        });
        double base = goodputs.getOrDefault(1, 0.0);
        boolean pass =
                violations.get() == 0 && goodputs.getOrDefault(2, 0.0) >= base && goodputs.getOrDefault(4, 0.0) >= base;
        return new ScenarioResult(violations.get(), pass, figures);
    }

    private static double average(List<Phase> phases, java.util.function.ToDoubleFunction<Phase> figure) {
        return phases.stream().mapToDouble(figure).average().orElse(0);
    }

    /** Outcomes of the requests sent in one measured phase. */
    private static final class Phase {
        private final Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
        private final Map<Boolean, AtomicInteger> sentByFlooder = new ConcurrentHashMap<>();
        private final Map<Boolean, AtomicInteger> goodByFlooder = new ConcurrentHashMap<>();

        void record(String caller, StreamClient.StreamEnd end, boolean inTime) {
            boolean flooder = caller.equals(FLOODER);
            count(sentByFlooder, flooder);
            count(ends, end.complete() && !inTime ? "late" : end.reason());
            if (end.complete() && inTime) {
                count(goodByFlooder, flooder);
            }
        }

        double goodputPerSecond() {
            int good =
                    goodByFlooder.values().stream().mapToInt(AtomicInteger::get).sum();
            return good * 1_000.0 / MEASURED_MILLIS;
        }

        double servedRatio(boolean flooder) {
            int sent = sentByFlooder.getOrDefault(flooder, new AtomicInteger()).get();
            return sent == 0
                    ? 1
                    : (double) goodByFlooder
                                    .getOrDefault(flooder, new AtomicInteger())
                                    .get()
                            / sent;
        }

        private static <K> void count(Map<K, AtomicInteger> counts, K key) {
            counts.computeIfAbsent(key, added -> new AtomicInteger()).incrementAndGet();
        }
    }
}
