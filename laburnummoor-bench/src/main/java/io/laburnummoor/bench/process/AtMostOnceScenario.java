package io.laburnummoor.bench.process;

import java.net.URI;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.bench.request.PlainCaller;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Non-idempotent calls through several routers: first without failures at three rates, then while routers stop, the
 * key-value service fails and loses answers, and upstreams die and pause. Callers repeat calls on other routers.
 */
final class AtMostOnceScenario implements Scenario {
    private static final List<String> DOMAINS = List.of("bsas-norte", "bsas-centro", "bsas-sur");
    private static final int[] RATES_PER_SECOND = {20, 60, 180};
    private static final long RATE_PHASE_MILLIS = 4_000;
    private static final int FAULT_CALLERS = 24;
    private static final long FAULT_PHASE_MILLIS = 14_000;
    private static final long FAULT_INTERVAL_MILLIS = 350;
    private static final int MAX_ATTEMPTS = 8;
    private static final long RETRY_MILLIS = 200;
    /** Callers that hang up before the answer and repeat the call elsewhere, as after a lost connection. */
    private static final Duration IMPATIENT_TIMEOUT = Duration.ofMillis(60);

    private static final int IMPATIENT_ONE_IN = 10;
    private static final long DRAIN_MILLIS = 4_000;
    /** 160 commits, 16 renewals and the acquisition of the 32 partitions; see {@code ClaimPolicy}. */
    private static final double MAX_WRITES_PER_SECOND = 200;

    private static final String PATH = "/services/" + PlainServiceNode.SERVICE + "/confirmations";

    private final AtomicInteger finished = new AtomicInteger();
    private final AtomicInteger unsettled = new AtomicInteger();
    private final AtomicInteger falseNotRun = new AtomicInteger();
    private final AtomicInteger wrongResults = new AtomicInteger();
    private final AtomicInteger notRunAnswers = new AtomicInteger();
    private final AtomicInteger outcomeUnknownAnswers = new AtomicInteger();
    private final AtomicInteger replayedAnswers = new AtomicInteger();

    @Override
    public ScenarioResult run(long seed) throws Exception {
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        try (LocalDeployment deployment =
                new LocalDeployment(DOMAINS, 0, 2, new EngineSettings("v1", 1, 1, seed), 2, DRAIN_MILLIS)) {
            deployment.start();
            double maxWritesPerSecond = 0;
            for (int rate : RATES_PER_SECOND) {
                maxWritesPerSecond = Math.max(maxWritesPerSecond, measureRate(deployment, rate, figures));
            }
            int beforeFaults = deployment.ledger().size();
            runWithFaults(deployment, seed);
            long repeated = deployment.ledger().repeatedKeys();
            figures.put("calls_with_faults", deployment.ledger().size() - beforeFaults);
            figures.put("calls_finished", finished.get()).put("calls_unsettled", unsettled.get());
            figures.put("keys_run_more_than_once", repeated);
            figures.put("false_not_run", falseNotRun.get()).put("wrong_results", wrongResults.get());
            figures.put("not_run_answers", notRunAnswers.get());
            figures.put("outcome_unknown_answers", outcomeUnknownAnswers.get());
            figures.put("replayed_answers", replayedAnswers.get());
            figures.put("max_writes_per_second", maxWritesPerSecond);
            figures.put("bound_writes_per_second", MAX_WRITES_PER_SECOND);
            long violations = repeated + falseNotRun.get() + wrongResults.get();
            boolean pass = violations == 0 && maxWritesPerSecond <= MAX_WRITES_PER_SECOND && finished.get() > 0;
            return new ScenarioResult(violations, pass, figures);
        }
    }

    private double measureRate(LocalDeployment deployment, int rate, ObjectNode figures) throws Exception {
        Histogram toRunMillis = new ConcurrentHistogram(3);
        Histogram callMillis = new ConcurrentHistogram(3);
        ExecutorService callers = Executors.newFixedThreadPool(64);
        ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
        HttpClient http = HttpClient.newHttpClient();
        AtomicInteger next = new AtomicInteger();
        long writesBefore = deployment.platform().writeCount();
        long startedAtNanos = System.nanoTime();
        clock.scheduleAtFixedRate(
                () -> callers.execute(() -> {
                    int number = next.getAndIncrement();
                    callOnce(deployment, http, number, toRunMillis, callMillis);
                }),
                0,
                TimeUnit.SECONDS.toMicros(1) / rate,
                TimeUnit.MICROSECONDS);
        Thread.sleep(RATE_PHASE_MILLIS);
        clock.shutdownNow();
        callers.shutdown();
        if (!callers.awaitTermination(DRAIN_MILLIS * 4, TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException("calls at rate " + rate + " do not end");
        }
        double seconds = (System.nanoTime() - startedAtNanos) / 1e9;
        long writes = deployment.platform().writeCount() - writesBefore;
        String suffix = "_at_" + rate + "_per_s";
        figures.put("claim_and_hand_over_p50_millis" + suffix, toRunMillis.getValueAtPercentile(50));
        figures.put("claim_and_hand_over_p99_millis" + suffix, toRunMillis.getValueAtPercentile(99));
        figures.put("call_p50_millis" + suffix, callMillis.getValueAtPercentile(50));
        figures.put("call_p99_millis" + suffix, callMillis.getValueAtPercentile(99));
        figures.put("writes_per_call" + suffix, round(writes / (double) Math.max(1, next.get())));
        return round(writes / seconds);
    }

    private void callOnce(
            LocalDeployment deployment, HttpClient http, int number, Histogram toRunMillis, Histogram callMillis) {
        PlainCaller caller = new PlainCaller(http, LocalDeployment.CALLER_KEY, Duration.ofSeconds(10));
        String key = PlainCaller.newKey(System.currentTimeMillis());
        URI router =
                deployment.routers().get(number % deployment.routers().size()).address();
        long startedAtNanos = System.nanoTime();
        try {
            PlainCaller.Answer answer = caller.post(router, PATH, key, "{}");
            callMillis.recordValue((System.nanoTime() - startedAtNanos) / 1_000_000);
            check(deployment, key, answer);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        Long ranAtNanos = deployment.ledger().startedAtNanos(key);
        if (ranAtNanos != null) {
            toRunMillis.recordValue(Math.max(0, (ranAtNanos - startedAtNanos) / 1_000_000));
        }
    }

    private void runWithFaults(LocalDeployment deployment, long seed) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(FAULT_CALLERS);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FAULT_PHASE_MILLIS);
        List<Future<?>> running = new ArrayList<>();
        for (int i = 0; i < FAULT_CALLERS; i++) {
            SplittableRandom random = new SplittableRandom(seed * 1_000 + i);
            running.add(callers.submit(() -> {
                HttpClient http = HttpClient.newBuilder()
                        .connectTimeout(Duration.ofSeconds(1))
                        .build();
                while (System.nanoTime() < deadlineNanos) {
                    callUntilSettled(deployment, http, random);
                }
                return null;
            }));
        }
        new FaultPlan(deployment, new SplittableRandom(seed)).run(FAULT_PHASE_MILLIS, FAULT_INTERVAL_MILLIS);
        for (Future<?> each : running) {
            each.get();
        }
        callers.shutdown();
    }

    private void callUntilSettled(LocalDeployment deployment, HttpClient http, SplittableRandom random)
            throws InterruptedException {
        PlainCaller caller = new PlainCaller(http, LocalDeployment.CALLER_KEY, Duration.ofSeconds(4));
        PlainCaller impatient = new PlainCaller(http, LocalDeployment.CALLER_KEY, IMPATIENT_TIMEOUT);
        String key = PlainCaller.newKey(System.currentTimeMillis());
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int router = random.nextInt(deployment.routers().size());
            PlainCaller next = attempt == 0 && random.nextInt(IMPATIENT_ONE_IN) == 0 ? impatient : caller;
            PlainCaller.Answer answer =
                    next.post(deployment.routers().get(router).address(), PATH, key, "{\"key\":\"" + key + "\"}");
            if (check(deployment, key, answer)) {
                finished.incrementAndGet();
                return;
            }
            Thread.sleep(RETRY_MILLIS);
        }
        unsettled.incrementAndGet();
    }

    /** Checks one answer against the ledger; returns whether it is a result. */
    private boolean check(LocalDeployment deployment, String key, PlainCaller.Answer answer) {
        if (answer.status() == 200) {
            if (!answer.receipt().equals(deployment.ledger().receipt(key))) {
                wrongResults.incrementAndGet();
            }
            var response = answer.response();
            if (response != null
                    && response.headers().firstValue("Idempotency-Replayed").isPresent()) {
                replayedAnswers.incrementAndGet();
            }
            return true;
        }
        if (answer.code().equals("not_run")) {
            notRunAnswers.incrementAndGet();
            if (deployment.ledger().runs(key) > 0) {
                falseNotRun.incrementAndGet();
                System.err.println("false not_run for key " + key + ": " + answer.body());
            }
        } else if (answer.code().equals("outcome_unknown")) {
            outcomeUnknownAnswers.incrementAndGet();
        }
        return false;
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }
}
