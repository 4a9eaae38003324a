package io.laburnummoor.bench.process;

import java.net.URI;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.bench.request.StreamClient;
import io.laburnummoor.bench.request.TokenOracle;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/**
 * Kills a router in the middle of its answers, then pauses another one and lets it return. Callers, several of them
 * with equal prompts under one organisation, resume on other routers.
 */
final class RouterDeathScenario implements Scenario {
    private static final int CALLERS = 18;
    private static final int MAX_TOKENS = 150;
    private static final int EQUAL_PROMPT_CALLERS = 9;
    private static final int TOKENS_BEFORE_LOSS = 10;
    /** The letter's target: after a loss output goes on within 6 s. */
    private static final long RESUME_BOUND_MILLIS = 6_000;
    /** Silence after which the bench's callers give up a connection. */
    private static final long CALLER_PATIENCE_MILLIS = 1_000;

    private static final long PAUSE_MILLIS = 4_000;
    private static final String SUPERSEDED = "laburnummoor_generations_failed_total{code=\"superseded\"}";

    private final ExecutorService threads = Executors.newCachedThreadPool();

    @Override
    public ScenarioResult run(long seed) throws Exception {
        EngineSettings settings = new EngineSettings("v1", 50, 20, seed);
        try (LocalDeployment deployment =
                        new LocalDeployment(List.of("sapporo", "asahikawa", "niseko"), 3, 1, settings);
                RouterProcess killed = new RouterProcess(deployment.newRouterSettings("router-killed", "sapporo"));
                RouterProcess paused = new RouterProcess(deployment.newRouterSettings("router-paused", "sapporo"))) {
            deployment.start();
            killed.awaitReady();
            paused.awaitReady();
            SplittableRandom random = new SplittableRandom(seed);
            Round kill = new Round(deployment, killed, "kill-" + seed + "-");
            kill.startAndAwait(random);
            long reuseViolations = kill.reuseKey();
            kill.lostAtNanos = System.nanoTime();
            killed.kill();
            kill.resumeAfterBreak();

            Round pause = new Round(deployment, paused, "pause-" + seed + "-");
            pause.startAndAwait(random);
            pause.lostAtNanos = System.nanoTime();
            paused.pause();
            Thread.sleep(CALLER_PATIENCE_MILLIS);
            List<Future<?>> resumed = pause.resumeBesidePaused();
            Thread.sleep(PAUSE_MILLIS - CALLER_PATIENCE_MILLIS);
            paused.unpause();
            for (Future<?> each : resumed) {
                each.get();
            }
            pause.awaitOldStreams();
            double superseded = paused.counter(SUPERSEDED);
            return result(kill, pause, reuseViolations, (long) superseded);
        } finally {
            threads.shutdownNow();
            threads.awaitTermination(1, TimeUnit.SECONDS);
        }
    }

    private static ScenarioResult result(Round kill, Round pause, long reuseViolations, long superseded) {
        long violations = kill.violations() + pause.violations() + reuseViolations;
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        figures.put("answers", 2 * CALLERS).put("equal_prompts", EQUAL_PROMPT_CALLERS);
        kill.addTo(figures, "kill");
        pause.addTo(figures, "pause");
        figures.put("caller_patience_millis", CALLER_PATIENCE_MILLIS);
        figures.put("superseded_writers", superseded).put("bound_millis", RESUME_BOUND_MILLIS);
        boolean withinBound =
                Math.max(kill.gapsMillis.getMaxValue(), pause.gapsMillis.getMaxValue()) <= RESUME_BOUND_MILLIS;
        return new ScenarioResult(violations, violations == 0 && withinBound && superseded == CALLERS, figures);
    }

    /** One router that is lost, and its callers. */
    private final class Round {
        private final LocalDeployment deployment;
        private final RouterProcess router;
        private final String keyPrefix;
        private final List<Caller> callers = new ArrayList<>();
        private final List<Future<?>> streams = new ArrayList<>();
        private final Histogram gapsMillis = new ConcurrentHistogram(3);
        private long lostAtNanos;

        Round(LocalDeployment deployment, RouterProcess router, String keyPrefix) {
            this.deployment = deployment;
            this.router = router;
            this.keyPrefix = keyPrefix;
        }

        void startAndAwait(SplittableRandom random) throws InterruptedException {
            for (int i = 0; i < CALLERS; i++) {
                Caller caller = new Caller(this, keyPrefix + i, i < EQUAL_PROMPT_CALLERS ? "equal" : "prompt " + i);
                callers.add(caller);
                streams.add(threads.submit(() -> caller.first(router.address())));
            }
            while (callers.stream().anyMatch(caller -> caller.receivedCount() < TOKENS_BEFORE_LOSS)) {
                Thread.sleep(5);
            }
            Thread.sleep(random.nextInt(500));
        }

        /** Sends another body under the key of a running request to another router; returns 1 if it is not refused. */
        long reuseKey() throws InterruptedException {
            Caller victim = callers.get(0);
            StreamClient client = new StreamClient(HttpClient.newHttpClient(), LocalDeployment.CALLER_KEY);
            StreamClient.StreamEnd end = client.run(
                    otherRouter(0), body("another prompt"), victim.key, null, (id, offset, tokenId, text) -> {});
            return end.reason().equals("key_reused") ? 0 : 1;
        }

        void resumeAfterBreak() throws Exception {
            for (Future<?> stream : streams) {
                stream.get();
            }
            for (Future<?> each : resumeBesidePaused()) {
                each.get();
            }
        }

        List<Future<?>> resumeBesidePaused() {
            List<Future<?>> resumed = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Caller caller = callers.get(i);
                URI other = otherRouter(i);
                resumed.add(threads.submit(() -> caller.resume(other)));
            }
            return resumed;
        }

        void awaitOldStreams() throws Exception {
            for (Future<?> stream : streams) {
                stream.get(10, TimeUnit.SECONDS);
            }
        }

        long violations() {
            return callers.stream().filter(caller -> !caller.isWhole()).count();
        }

        void addTo(ObjectNode figures, String name) {
            figures.put(name + "_resume_p50_millis", gapsMillis.getValueAtPercentile(50));
            figures.put(name + "_resume_p99_millis", gapsMillis.getValueAtPercentile(99));
            figures.put(name + "_resume_max_millis", gapsMillis.getMaxValue());
        }

        private URI otherRouter(int caller) {
            return deployment.routers().get(1 + caller % 2).address();
        }
    }

    private static ObjectNode body(String prompt) {
        ObjectNode body = HttpStandIn.MAPPER.createObjectNode();
        body.put("service", LocalDeployment.SERVICE).put("prompt", prompt);
        body.put("max_tokens", MAX_TOKENS).put("stream", true);
        return body;
    }

    /** One caller: what its first connection received, and the answer that it ends up with. */
    private static final class Caller {
        private final Round round;
        private final String key;
        private final String prompt;
        private final List<Integer> firstIds = new ArrayList<>();
        private final List<Integer> answerIds = new ArrayList<>();
        private @Nullable String lastEventId;
        private String end = "";
        private boolean offsetsRight = true;

        Caller(Round round, String key, String prompt) {
            this.round = round;
            this.key = key;
            this.prompt = prompt;
        }

        synchronized int receivedCount() {
            return firstIds.size();
        }

        void first(URI router) {
            run(router, null, (id, offset, tokenId, text) -> {
                synchronized (this) {
                    offsetsRight &= offset == firstIds.size();
                    firstIds.add(tokenId);
                    lastEventId = id;
                }
            });
        }

        void resume(URI router) {
            String from;
            synchronized (this) {
                from = lastEventId;
                answerIds.addAll(firstIds);
            }
            boolean[] seen = {false};
            end = run(router, from, (id, offset, tokenId, text) -> {
                if (!seen[0]) {
                    seen[0] = true;
                    round.gapsMillis.recordValue((System.nanoTime() - round.lostAtNanos) / 1_000_000);
                }
                synchronized (this) {
                    offsetsRight &= offset == answerIds.size();
                    answerIds.add(tokenId);
                }
            });
        }

        /** What the first connection received, also after a pause, must be a prefix of the answer. */
        synchronized boolean isWhole() {
            boolean prefix = firstIds.size() <= answerIds.size()
                    && answerIds.subList(0, firstIds.size()).equals(firstIds);
            int firstInvalid = new TokenOracle("v1", prompt).firstInvalid(answerIds);
            boolean whole = end.equals("length")
                    && offsetsRight
                    && prefix
                    && firstInvalid < 0
                    && answerIds.size() == MAX_TOKENS;
            if (!whole) {
                System.err.printf(
                        "%s: end %s, %d + %d tokens, prefix %s, offsets %s, first invalid %d%n",
                        key, end, firstIds.size(), answerIds.size(), prefix, offsetsRight, firstInvalid);
            }
            return whole;
        }

        private String run(URI router, @Nullable String from, StreamClient.EventHandler handler) {
            try {
                return new StreamClient(HttpClient.newHttpClient(), LocalDeployment.CALLER_KEY)
                        .run(router, body(prompt), key, from, handler)
                        .reason();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return "interrupted";
            }
        }
    }
}
