package io.laburnummoor.bench.process;

import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.bench.request.StreamClient;
import io.laburnummoor.bench.request.TokenOracle;
import io.laburnummoor.core.Snapshot;
import io.laburnummoor.wire.process.PeriodicTask;

/**
 * Under load, an agent is stopped as planned, an engine refuses work because it leaves, and a router is stopped as
 * planned, while the VM list goes on naming all of them. Callers retry elsewhere as the operators' page tells them.
 */
final class DrainScenario implements Scenario {
    private static final int CALLERS = 24;
    private static final int MIN_TOKENS = 40;
    private static final int TOKENS_RANGE = 80;
    /** Longer than the drain time, so that the stop breaks these answers. */
    private static final int LONG_ANSWER_TOKENS = 700;
    /** Every so many callers one asks for long answers. */
    private static final int LONG_ANSWER_CALLERS = 6;
    /** Age of the balancer's view of the routers. */
    private static final long BALANCER_LAG_MILLIS = 1_000;

    private static final int DRAIN_MILLIS = 8_000;
    private static final int MAX_TRIES = 20;
    private static final long RETRY_MILLIS = 100;
    private static final long PHASE_MILLIS = 6_000;
    private static final long NEW_WORK_BOUND_MILLIS = 3_000;

    private final Map<String, AtomicInteger> retriesByReason = new ConcurrentHashMap<>();
    private final Snapshot<List<LocalDeployment.RouterNode>> balanced = new Snapshot<>(List.of());
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    @Override
    public ScenarioResult run(long seed) throws Exception {
        EngineSettings settings = new EngineSettings("v1", 50, 20, seed);
        AtomicBoolean running = new AtomicBoolean(true);
        LocalDeployment deployment =
                new LocalDeployment(List.of("sapporo", "asahikawa", "niseko"), 2, 1, settings, 0, DRAIN_MILLIS);
        deployment.start();
        PeriodicTask balancer = new PeriodicTask(
                "balancer",
                BALANCER_LAG_MILLIS,
                () -> balanced.replace(deployment.routers().stream()
                        .filter(LocalDeployment.RouterNode::isReady)
                        .toList()));
        balanced.replace(deployment.routers());
        balancer.start();
        ExecutorService threads = Executors.newCachedThreadPool();
        List<Future<?>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(threads.submit(() -> callUntilStopped(number, running)));
        }
        Thread.sleep(PHASE_MILLIS / 2);
        LocalDeployment.EngineNode first = deployment.engines().get(0);
        long noticeMillis = System.currentTimeMillis();
        Future<?> agentStop = threads.submit(first::stopAgent);
        Thread.sleep(PHASE_MILLIS);
        EngineStandIn second = deployment.engines().get(2).engine();
        long refusalMillis = System.currentTimeMillis();
        second.leave();
        Thread.sleep(PHASE_MILLIS);
        long stopMillis = System.currentTimeMillis();
        Future<?> routerStop = threads.submit(deployment.routers().get(0)::stop);
        routerStop.get();
        long routerStopMillis = System.currentTimeMillis() - stopMillis;
        Thread.sleep(PHASE_MILLIS / 2);
        running.set(false);
        for (Future<?> each : callers) {
            each.get();
        }
        agentStop.get();
        threads.shutdown();
        balancer.stop();
        return result(
                Math.max(0, first.engine().lastAcceptedMillis() - noticeMillis),
                Math.max(0, second.lastAcceptedMillis() - refusalMillis),
                second.refusedCount(),
                routerStopMillis);
    }

    private Void callUntilStopped(int number, AtomicBoolean running) throws InterruptedException {
        HttpClient http = HttpClient.newHttpClient();
        for (int call = 0; running.get(); call++) {
            int tokens = number % LONG_ANSWER_CALLERS == 0
                    ? LONG_ANSWER_TOKENS
                    : MIN_TOKENS + (number * 7 + call * 13) % TOKENS_RANGE;
            if (callOnce(http, number, "report " + number + "-" + call, tokens)) {
                complete.incrementAndGet();
            } else {
                lost.incrementAndGet();
            }
        }
        return null;
    }

    /** Makes one request and resumes it at another ready router after each failure. */
    private boolean callOnce(HttpClient http, int number, String prompt, int maxTokens) throws InterruptedException {
        ObjectNode body = HttpStandIn.MAPPER.createObjectNode();
        body.put("service", LocalDeployment.SERVICE).put("prompt", prompt);
        body.put("max_tokens", maxTokens).put("stream", true);
        String key = UUID.randomUUID().toString();
        List<Integer> tokenIds = new ArrayList<>();
        String[] lastEventId = {null};
        StreamClient client = new StreamClient(http, LocalDeployment.CALLER_KEY, "caller-" + number);
        for (int attempt = 0; attempt < MAX_TRIES; attempt++) {
            List<LocalDeployment.RouterNode> ready = balanced.get();
            StreamClient.StreamEnd end = client.run(
                    ready.get((number + attempt) % ready.size()).address(),
                    body,
                    key,
                    lastEventId[0],
                    (id, offset, tokenId, text) -> {
                        lastEventId[0] = id;
                        tokenIds.add(tokenId);
                    });
            if (end.complete()) {
                return tokenIds.size() == maxTokens && new TokenOracle("v1", prompt).firstInvalid(tokenIds) < 0;
            }
            retriesByReason
                    .computeIfAbsent(end.reason(), added -> new AtomicInteger())
                    .incrementAndGet();
            Thread.sleep(RETRY_MILLIS);
        }
        return false;
    }

    private ScenarioResult result(
            long newWorkAfterNoticeMillis, long newWorkAfterRefusalMillis, int refused, long routerStopMillis) {
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        figures.put("answers_complete", complete.get()).put("answers_lost", lost.get());
        figures.put("new_work_after_notice_millis", newWorkAfterNoticeMillis);
        figures.put("new_work_after_refusal_millis", newWorkAfterRefusalMillis);
        figures.put("new_work_bound_millis", NEW_WORK_BOUND_MILLIS);
        figures.put("refused_attempts", refused).put("router_stop_millis", routerStopMillis);
        ObjectNode retries = figures.putObject("retries_by_reason");
        new TreeMap<>(retriesByReason).forEach((reason, count) -> retries.put(reason, count.get()));
        long violations = lost.get();
        boolean pass = violations == 0
                && newWorkAfterNoticeMillis <= NEW_WORK_BOUND_MILLIS
                && newWorkAfterRefusalMillis <= NEW_WORK_BOUND_MILLIS;
        return new ScenarioResult(violations, pass, figures);
    }
}
