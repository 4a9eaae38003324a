package io.laburnummoor.bench.process;

import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.bench.request.StreamClient;
import io.laburnummoor.core.process.Quarantine;

/**
 * A request crashes every engine that runs it and its caller sends it again to the next router with a new key, beside
 * innocent callers. Afterwards a whole failure domain loses its engines at once.
 */
final class CrashRequestScenario implements Scenario {
    private static final int ENGINES_PER_DOMAIN = 5;
    private static final int INNOCENT_CALLERS = 24;
    private static final int MAX_TOKENS = 120;
    private static final long BLOCK_TIMEOUT_MILLIS = 40_000;
    private static final long AFTER_DOMAIN_LOSS_MILLIS = 8_000;
    private static final long POLL_MILLIS = 50;
    /** Two attempts before isolation and the isolated one. */
    private static final int MAX_UPSTREAMS_LOST = 3;
    /** Deciding a crash takes up to 4.5 s and happens twice; the rest is backoff and the exchange. */
    private static final long BLOCK_BOUND_MILLIS = 15_000;

    private final Map<String, AtomicInteger> innocentEnds = new ConcurrentHashMap<>();

    @Override
    public ScenarioResult run(long seed) throws Exception {
        EngineSettings settings = new EngineSettings("v1", 50, 20, seed);
        AtomicBoolean running = new AtomicBoolean(true);
        try (LocalDeployment deployment =
                new LocalDeployment(List.of("sapporo", "asahikawa", "niseko"), ENGINES_PER_DOMAIN, 1, settings)) {
            deployment.start();
            ExecutorService threads = Executors.newCachedThreadPool();
            List<Future<?>> innocents = startInnocents(deployment, threads, running);
            long startMillis = System.currentTimeMillis();
            Future<?> harmful = threads.submit(() -> resendHarmful(deployment, running));
            long blockedMillis = awaitBlocked(deployment, startMillis);
            long lost = deadCount(deployment);
            Thread.sleep(AFTER_DOMAIN_LOSS_MILLIS / 2);
            long lostLater = deadCount(deployment) - lost;
            long blockedBefore = blockedCount(deployment);
            deployment.engines().stream()
                    .filter(each -> each.upstream().failureDomain().equals("niseko"))
                    .forEach(each -> each.engine().die());
            Thread.sleep(AFTER_DOMAIN_LOSS_MILLIS);
            running.set(false);
            harmful.get();
            for (Future<?> each : innocents) {
                each.get();
            }
            threads.shutdown();
            long blockedByDomainLoss = blockedCount(deployment) - blockedBefore;
            return result(blockedMillis, lost, lostLater, blockedByDomainLoss);
        }
    }

    private List<Future<?>> startInnocents(LocalDeployment deployment, ExecutorService threads, AtomicBoolean running) {
        CheckedCaller caller = new CheckedCaller(HttpClient.newHttpClient(), "v1");
        List<Future<?>> innocents = new ArrayList<>();
        for (int i = 0; i < INNOCENT_CALLERS; i++) {
            int number = i;
            innocents.add(threads.submit(() -> {
                for (int call = 0; running.get(); call++) {
                    StreamClient.StreamEnd end = caller.call(
                            deployment.routers().get(number % 3).address(),
                            "innocent-" + number,
                            "waiver of guest " + number + "-" + call,
                            MAX_TOKENS);
                    innocentEnds
                            .computeIfAbsent(end.reason(), added -> new AtomicInteger())
                            .incrementAndGet();
                }
                return null;
            }));
        }
        return innocents;
    }

    private static Void resendHarmful(LocalDeployment deployment, AtomicBoolean running) throws InterruptedException {
        CheckedCaller caller = new CheckedCaller(HttpClient.newHttpClient(), "v1");
        for (int i = 0; running.get(); i++) {
            caller.call(deployment.routers().get(i % 3).address(), "harmful", EngineStandIn.CRASHING_TEXT, MAX_TOKENS);
            Thread.sleep(POLL_MILLIS);
        }
        return null;
    }

    private static long awaitBlocked(LocalDeployment deployment, long startMillis) throws InterruptedException {
        while (System.currentTimeMillis() - startMillis < BLOCK_TIMEOUT_MILLIS) {
            boolean everywhere = deployment.routers().stream()
                    .allMatch(each -> each.instance(Quarantine.class).blockedCount() > 0);
            if (everywhere) {
                break;
            }
            Thread.sleep(POLL_MILLIS);
        }
        return System.currentTimeMillis() - startMillis;
    }

    private static long deadCount(LocalDeployment deployment) {
        return deployment.engines().stream()
                .filter(each -> each.engine().isDead())
                .count();
    }

    private static long blockedCount(LocalDeployment deployment) {
        return deployment.routers().stream()
                .mapToLong(each -> each.instance(Quarantine.class).blockedCount())
                .max()
                .orElse(0);
    }

    private ScenarioResult result(long blockedMillis, long lost, long lostLater, long blockedByDomainLoss) {
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        figures.put("upstreams_lost", lost).put("upstreams_lost_bound", MAX_UPSTREAMS_LOST);
        figures.put("upstreams_lost_after_block", lostLater);
        figures.put("blocked_everywhere_millis", blockedMillis).put("blocked_bound_millis", BLOCK_BOUND_MILLIS);
        figures.put("fingerprints_blocked_by_domain_loss", blockedByDomainLoss);
        ObjectNode ends = figures.putObject("innocent_ends");
        new TreeMap<>(innocentEnds).forEach((reason, count) -> ends.put(reason, count.get()));
        int blockedInnocents = ends.path("request_quarantined").asInt();
        figures.put("innocent_blocked", blockedInnocents);
        int complete = ends.path("length").asInt() + ends.path("stop").asInt();
        int total = innocentEnds.values().stream().mapToInt(AtomicInteger::get).sum();
        long violations = total - complete + blockedByDomainLoss;
        boolean pass =
                violations == 0 && lost <= MAX_UPSTREAMS_LOST && lostLater == 0 && blockedMillis <= BLOCK_BOUND_MILLIS;
        return new ScenarioResult(violations, pass, figures);
    }
}
