package io.laburnummoor.bench.process;

import java.net.URI;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.bench.request.StreamClient;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.ConfigPublisher;
import io.laburnummoor.core.process.ConfigPublisher.Base;
import io.laburnummoor.core.process.ConfigPublisher.Result;
import io.laburnummoor.core.process.ConfigRepository;
import io.laburnummoor.core.process.RouterPeers;
import io.laburnummoor.wire.version.ConfigCodec;
import org.jspecify.annotations.Nullable;

/** Takes the key-value service away and brings it back slow while generations run and a router starts. */
final class KvOutageScenario implements Scenario {
    private static final int CALLERS = 6;
    private static final int MAX_TOKENS = 30;
    private static final long OUTAGE_MILLIS = 8_000;
    private static final long SLOW_DELAY_MILLIS = 1_000;
    /** Time without a fault, to tell failures of generations that the outage does not cause. */
    private static final long CONTROL_MILLIS = 4_000;

    private static final long POLL_MILLIS = 5;
    /** The letter's target: a change is in effect everywhere within 13 s. */
    private static final long BOUND_MILLIS = 13_000;

    private final AtomicLong answers = new AtomicLong();
    private final AtomicLong failedAnswers = new AtomicLong();
    private final Map<String, Integer> failureReasons = new ConcurrentHashMap<>();
    private final AtomicLong reverts = new AtomicLong();
    private final AtomicBoolean running = new AtomicBoolean(true);

    @Override
    public ScenarioResult run(long seed) throws Exception {
        EngineSettings settings = new EngineSettings("v1", 20, 10, seed);
        try (LocalDeployment deployment =
                new LocalDeployment(List.of("sapporo", "asahikawa", "niseko"), 2, 1, settings)) {
            deployment.start();
            ExecutorService threads = Executors.newFixedThreadPool(CALLERS + 1);
            List<Future<?>> loads = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int caller = i;
                loads.add(threads.submit(() -> generate(deployment, caller)));
            }
            loads.add(threads.submit(() -> observe(deployment)));
            long violations = 0;
            ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
            ConfigPublisher publisher =
                    new ConfigPublisher(new ConfigRepository(deployment.keyValueStore(), new ConfigCodec()), () -> {});
            violations += change(publisher, 101) == Result.ACCEPTED ? 0 : 1;
            figures.put("change_before_millis", awaitRevision(deployment, 2));
            Thread.sleep(CONTROL_MILLIS);
            figures.put("failed_answers_before_outage", failedAnswers.get());
            long answersBefore = answers.get();
            deployment.platform().setDown(true);
            long startNanos = System.nanoTime();
            long startedMillis = startRouterDuringOutage(deployment);
            violations += startedMillis < 0 ? 1 : 0;
            violations += change(publisher, 102) == null ? 0 : 1;
            Thread.sleep(Math.max(0, OUTAGE_MILLIS - elapsedMillis(startNanos)));
            figures.put("outage_millis", elapsedMillis(startNanos));
            figures.put("router_started_in_outage_ready_after_millis", startedMillis);
            figures.put("answers_during_outage", answers.get() - answersBefore);
            deployment.platform().setDelayMillis(SLOW_DELAY_MILLIS);
            deployment.platform().setDown(false);
            long returnNanos = System.nanoTime();
            violations += change(publisher, 103) == Result.ACCEPTED ? 0 : 1;
            long recoveredMillis = awaitRevision(deployment, 3) < 0 ? -1 : elapsedMillis(returnNanos);
            deployment.platform().setDelayMillis(0);
            running.set(false);
            for (Future<?> load : loads) {
                load.get();
            }
            threads.shutdown();
            violations += failedAnswers.get() + reverts.get() + (recoveredMillis < 0 ? 1 : 0);
            figures.put("slow_answer_delay_millis", SLOW_DELAY_MILLIS);
            figures.put("change_in_force_after_return_millis", recoveredMillis);
            figures.put("answers", answers.get()).put("failed_answers", failedAnswers.get());
            failureReasons.forEach((reason, count) -> figures.put("failed_" + reason, count));
            figures.put("reverts", reverts.get()).put("bound_millis", BOUND_MILLIS);
            boolean pass = violations == 0 && recoveredMillis <= BOUND_MILLIS;
            return new ScenarioResult(violations, pass, figures);
        }
    }

    /** Returns how the change ended, or null if the key-value service did not answer. */
    private static @Nullable Result change(ConfigPublisher publisher, int limit) {
        try {
            Base base = publisher.readBase();
            return publisher
                    .publish(
                            base,
                            ConfigFleet.with(base.state(), ConfigFleet.organisation("visitors", limit)),
                            "change-" + limit)
                    .result();
        } catch (LaburnummoorException unavailable) {
            return null;
        }
    }

    private static long startRouterDuringOutage(LocalDeployment deployment) throws InterruptedException {
        RouterPeers peers = new RouterPeers();
        peers.replace(deployment.routers().stream()
                .map(LocalDeployment.RouterNode::peer)
                .toList());
        URI keyValueAddress = deployment.routers().get(0).settings().keyValueAddress();
        ConfigNode node = new ConfigNode("router-new", "sapporo", keyValueAddress, peers);
        long startNanos = System.nanoTime();
        node.start();
        while (node.revision() == 0 && elapsedMillis(startNanos) < OUTAGE_MILLIS) {
            Thread.sleep(POLL_MILLIS);
        }
        long readyMillis = node.revision() == 2 ? elapsedMillis(startNanos) : -1;
        node.stop();
        return readyMillis;
    }

    private static long awaitRevision(LocalDeployment deployment, long revision) throws InterruptedException {
        long startNanos = System.nanoTime();
        while (elapsedMillis(startNanos) <= 2 * BOUND_MILLIS) {
            if (deployment.routers().stream().allMatch(router -> revision(router) >= revision)) {
                return elapsedMillis(startNanos);
            }
            Thread.sleep(POLL_MILLIS);
        }
        return -1;
    }

    private void generate(LocalDeployment deployment, int caller) {
        StreamClient client = new StreamClient(HttpClient.newHttpClient(), LocalDeployment.CALLER_KEY);
        for (int i = 0; running.get(); i++) {
            ObjectNode body = HttpStandIn.MAPPER.createObjectNode();
            body.put("service", LocalDeployment.SERVICE).put("prompt", "rulebook " + caller + " " + i);
            body.put("max_tokens", MAX_TOKENS).put("stream", true);
            AtomicLong tokens = new AtomicLong();
            boolean complete;
            try {
                StreamClient.StreamEnd end = client.run(
                        deployment.routers().get(caller % 3).address(),
                        body,
                        null,
                        null,
                        (id, offset, tokenId, text) -> tokens.incrementAndGet());
                complete = end.complete();
                if (!complete) {
                    failureReasons.merge(end.reason(), 1, Integer::sum);
                }
            } catch (Exception failure) {
                complete = false;
                failureReasons.merge(failure.getClass().getSimpleName(), 1, Integer::sum);
            }
            answers.incrementAndGet();
            failedAnswers.addAndGet(complete && tokens.get() == MAX_TOKENS ? 0 : 1);
        }
    }

    private void observe(LocalDeployment deployment) {
        long[] seen = new long[deployment.routers().size()];
        while (running.get()) {
            for (int i = 0; i < seen.length; i++) {
                long revision = revision(deployment.routers().get(i));
                reverts.addAndGet(revision < seen[i] ? 1 : 0);
                seen[i] = revision;
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static long revision(LocalDeployment.RouterNode router) {
        return router.instance(ConfigHolder.class).current().revision();
    }

    private static long elapsedMillis(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
