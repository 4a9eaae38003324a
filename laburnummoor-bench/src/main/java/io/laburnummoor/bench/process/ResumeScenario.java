package io.laburnummoor.bench.process;

import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.bench.request.StreamClient;
import io.laburnummoor.bench.request.TokenOracle;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Crashes engines one after another under load and measures the longest gap in each answer that met a crash. */
final class ResumeScenario implements Scenario {
    private static final int CALLERS = 30;
    private static final int MAX_TOKENS = 150;
    private static final int CRASHES = 3;
    private static final long CRASH_INTERVAL_MILLIS = 700;
    /** The letter's target: after a loss output goes on within 6 s. */
    private static final long RESUME_BOUND_MILLIS = 6_000;

    private final Histogram gapsMillis = new ConcurrentHistogram(3);

    @Override
    public ScenarioResult run(long seed) throws Exception {
        EngineSettings settings = new EngineSettings("v1", 50, 20, seed);
        try (LocalDeployment deployment =
                new LocalDeployment(List.of("sapporo", "asahikawa", "niseko"), 3, 1, settings)) {
            deployment.start();
            ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
            List<Future<Boolean>> answers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int caller = i;
                answers.add(callers.submit(() -> call(deployment, caller)));
            }
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < CRASHES; i++) {
                Thread.sleep(CRASH_INTERVAL_MILLIS);
                deployment.engines().get(i * 3 + random.nextInt(3)).engine().die();
            }
            long violations = 0;
            for (Future<Boolean> answer : answers) {
                violations += answer.get() ? 0 : 1;
            }
            callers.shutdown();
            return result(violations);
        }
    }

    private boolean call(LocalDeployment deployment, int caller) throws InterruptedException {
        String prompt = "rulebook of park " + caller;
        ObjectNode body = HttpStandIn.MAPPER.createObjectNode();
        body.put("service", LocalDeployment.SERVICE).put("prompt", prompt);
        body.put("max_tokens", MAX_TOKENS).put("stream", true);
        List<Integer> tokenIds = new ArrayList<>();
        long[] lastAndLongestNanos = {System.nanoTime(), 0};
        StreamClient client = new StreamClient(HttpClient.newHttpClient(), LocalDeployment.CALLER_KEY);
        StreamClient.StreamEnd end = client.run(
                deployment.routers().get(caller % 3).address(), body, null, null, (id, offset, tokenId, text) -> {
                    long nowNanos = System.nanoTime();
                    if (offset > 0) {
                        lastAndLongestNanos[1] = Math.max(lastAndLongestNanos[1], nowNanos - lastAndLongestNanos[0]);
                    }
                    lastAndLongestNanos[0] = nowNanos;
                    tokenIds.add(tokenId);
                });
        gapsMillis.recordValue(lastAndLongestNanos[1] / 1_000_000);
        int firstInvalid = new TokenOracle("v1", prompt).firstInvalid(tokenIds);
        boolean whole = end.complete() && tokenIds.size() == MAX_TOKENS && firstInvalid < 0;
        if (!whole) {
            System.err.printf(
                    "caller %d: end %s, %d tokens, first invalid %d%n",
                    caller, end.reason(), tokenIds.size(), firstInvalid);
        }
        return whole;
    }

    private ScenarioResult result(long violations) {
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        figures.put("answers", CALLERS).put("crashes", CRASHES);
        figures.put("longest_gap_p50_millis", gapsMillis.getValueAtPercentile(50));
        figures.put("longest_gap_p99_millis", gapsMillis.getValueAtPercentile(99));
        figures.put("longest_gap_max_millis", gapsMillis.getMaxValue());
        figures.put("bound_millis", RESUME_BOUND_MILLIS);
        return new ScenarioResult(
                violations, violations == 0 && gapsMillis.getMaxValue() <= RESUME_BOUND_MILLIS, figures);
    }
}
