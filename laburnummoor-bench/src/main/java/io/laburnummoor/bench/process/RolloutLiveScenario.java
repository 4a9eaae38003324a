package io.laburnummoor.bench.process;

import java.net.http.HttpClient;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.bench.request.StreamClient;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.process.RolloutController;
import io.laburnummoor.core.version.RolloutDeclaration;
import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.wire.version.RolloutJson;

/**
 * Three rollouts between two versions of the engine stand-in over real sockets: a good one, one that turns bad, and one
 * that turns bad while the key-value service is down.
 */
final class RolloutLiveScenario implements Scenario {
    private static final List<String> DOMAINS = List.of("sapporo", "asahikawa", "niseko");
    private static final int CALLERS = 30;
    private static final int MAX_TOKENS = 6;
    private static final long ROLLOUT_MILLIS = 40_000;
    private static final long BAD_AFTER_MILLIS = 14_000;
    private static final long OUTAGE_MILLIS = 12_000;
    private static final double ERROR_RATE = 0.4;
    /** States reach all routers within the 2 s between two reads; one more second is allowed on a busy machine. */
    private static final long PROPAGATION_MILLIS = 3_000;

    private static final long OBSERVED_MILLIS = 5_000;

    @Override
    public ScenarioResult run(long seed) throws Exception {
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        boolean pass = runOne(seed, false, false, figures.putObject("good")) == RolloutState.Phase.COMPLETED;
        pass &= runOne(seed, true, false, figures.putObject("bad")) == RolloutState.Phase.ROLLED_BACK;
        pass &= runOne(seed, true, true, figures.putObject("bad_during_outage")) == RolloutState.Phase.ROLLED_BACK;
        long violations = figures.path("bad").path("first_attempts_after_stop").asLong()
                + figures.path("bad_during_outage")
                        .path("first_attempts_after_stop")
                        .asLong();
        return new ScenarioResult(violations, pass && violations == 0, figures);
    }

    private static RolloutState.Phase runOne(long seed, boolean bad, boolean outage, ObjectNode figures)
            throws Exception {
        EngineSettings oldSettings = new EngineSettings("v1", 15, 8, seed);
        try (LocalDeployment deployment = new LocalDeployment(DOMAINS, 1, 1, oldSettings)) {
            List<LocalDeployment.EngineNode> newEngines =
                    deployment.addEngines("drafter-new", DOMAINS, new EngineSettings("v2", 15, 8, seed + 100));
            deployment.start();
            declare(deployment);
            AtomicBoolean ended = new AtomicBoolean();
            AtomicLong answers = new AtomicLong();
            ExecutorService callers = startCallers(deployment, ended, answers);
            long startMillis = System.currentTimeMillis();
            if (bad) {
                Thread.sleep(BAD_AFTER_MILLIS);
                newEngines.forEach(each -> each.engine().setErrorRate(ERROR_RATE));
                deployment.platform().setDown(outage);
            }
            long badMillis = System.currentTimeMillis();
            long requestsWhenBad = requests(newEngines);
            if (outage) {
                Thread.sleep(OUTAGE_MILLIS);
                observe(newEngines, figures, "in_last_5_s_of_outage");
                deployment.platform().setDown(false);
            }
            RolloutState state = awaitOutcome(deployment.keyValueStore(), startMillis + 2 * ROLLOUT_MILLIS);
            figures.put("seconds_to_outcome", (System.currentTimeMillis() - badMillis) / 1_000.0);
            if (bad) {
                Thread.sleep(PROPAGATION_MILLIS);
                figures.put("requests_while_bad", requests(newEngines) - requestsWhenBad);
                observe(newEngines, figures, "after_stop");
            }
            ended.set(true);
            callers.shutdown();
            callers.awaitTermination(1, TimeUnit.MINUTES);
            figures.put("answers", answers.get()).put("new_version_requests", requests(newEngines));
            figures.put("outcome", state.phase().text());
            figures.put(
                    "evidence", state.events().get(state.events().size() - 1).detail());
            return state.phase();
        }
    }

    private static void declare(LocalDeployment deployment) {
        RolloutDeclaration declaration = new RolloutDeclaration(
                "v1-to-v2",
                LocalDeployment.SERVICE,
                "v1",
                "v2",
                System.currentTimeMillis() + ROLLOUT_MILLIS,
                List.of("base"),
                0.02,
                2);
        deployment.applyConfig(List.of(declaration));
    }

    private static ExecutorService startCallers(LocalDeployment deployment, AtomicBoolean ended, AtomicLong answers) {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        StreamClient client = new StreamClient(HttpClient.newHttpClient(), LocalDeployment.CALLER_KEY);
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            callers.execute(() -> {
                ObjectNode body = HttpStandIn.MAPPER.createObjectNode();
                body.put("service", LocalDeployment.SERVICE).put("prompt", "rulebook of park " + caller);
                body.put("max_tokens", MAX_TOKENS).put("stream", true);
                try {
                    while (!ended.get()) {
                        int router = caller % deployment.routers().size();
                        boolean complete = client.run(
                                        deployment.routers().get(router).address(),
                                        body,
                                        null,
                                        null,
                                        (id, offset, tokenId, text) -> {})
                                .complete();
                        answers.addAndGet(complete ? 1 : 0);
                    }
                } catch (InterruptedException stopped) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        return callers;
    }

    private static RolloutState awaitOutcome(KeyValueStore store, long deadlineMillis) throws InterruptedException {
        RolloutJson codec = new RolloutJson();
        while (true) {
            VersionedValue value = store.get(RolloutController.key("v1-to-v2"));
            RolloutState state = value == null ? null : codec.decode(value.value());
            if (state != null
                    && (state.phase() != RolloutState.Phase.RUNNING || System.currentTimeMillis() > deadlineMillis)) {
                return state;
            }
            Thread.sleep(100);
        }
    }

    /** Counts first attempts, and those that repeat an answer which was bound to the version before it was stopped. */
    private static void observe(List<LocalDeployment.EngineNode> engines, ObjectNode figures, String when)
            throws InterruptedException {
        long requestsBefore = requests(engines);
        long firstBefore = firstAttempts(engines);
        Thread.sleep(OBSERVED_MILLIS);
        long first = firstAttempts(engines) - firstBefore;
        figures.put("first_attempts_" + when, first);
        figures.put("repeated_attempts_" + when, requests(engines) - requestsBefore - first);
    }

    private static long firstAttempts(List<LocalDeployment.EngineNode> engines) {
        return engines.stream()
                .mapToLong(each -> each.engine().firstAttemptCount())
                .sum();
    }

    private static long requests(List<LocalDeployment.EngineNode> engines) {
        return engines.stream().mapToLong(each -> each.engine().requestCount()).sum();
    }
}
