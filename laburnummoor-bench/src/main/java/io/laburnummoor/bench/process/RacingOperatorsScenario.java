package io.laburnummoor.bench.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.ConfigPublisher;
import io.laburnummoor.core.process.ConfigPublisher.Base;
import io.laburnummoor.core.process.ConfigPublisher.Result;
import io.laburnummoor.core.process.ConfigRepository;
import io.laburnummoor.core.process.ConfigRepository.Head;
import io.laburnummoor.core.version.ConfigDelta;
import io.laburnummoor.core.version.ConfigState;

/** Lets operators race while answers to writes are lost, and compares the history with what they were told. */
final class RacingOperatorsScenario implements Scenario {
    private static final int OPERATORS = 8;
    private static final int CHANGES_PER_OPERATOR = 40;
    private static final int NODES = 12;
    private static final int DOMAINS = 3;
    private static final int LOST_ANSWER_INTERVAL = 4;
    private static final long CONVERGENCE_TIMEOUT_MILLIS = 13_000;

    private final Map<String, String> told = new ConcurrentHashMap<>();
    private final AtomicLong reverts = new AtomicLong();

    @Override
    public ScenarioResult run(long seed) throws Exception {
        try (ConfigFleet fleet = new ConfigFleet(NODES, DOMAINS)) {
            fleet.start();
            AtomicBoolean running = new AtomicBoolean(true);
            ExecutorService threads = Executors.newFixedThreadPool(OPERATORS + 1);
            Future<?> observer = threads.submit(() -> observe(fleet, running));
            List<Future<?>> operators = new ArrayList<>();
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < OPERATORS; i++) {
                int operator = i;
                SplittableRandom own = random.split();
                operators.add(threads.submit(() -> operate(fleet, operator, own)));
            }
            for (Future<?> operator : operators) {
                operator.get();
            }
            fleet.platform().loseAnswers(0);
            Head head = fleet.repository().head();
            long headRevision = head == null ? 0 : head.delta().revision();
            long convergedMillis = fleet.awaitMillis(headRevision, CONVERGENCE_TIMEOUT_MILLIS);
            running.set(false);
            observer.get();
            threads.shutdown();
            threads.awaitTermination(1, TimeUnit.SECONDS);
            return result(fleet, headRevision, convergedMillis);
        }
    }

    private void operate(ConfigFleet fleet, int operator, SplittableRandom random) {
        ConfigPublisher publisher = fleet.publisher();
        for (int i = 0; i < CHANGES_PER_OPERATOR; i++) {
            String operationId = "operator-" + operator + "-" + i;
            if (random.nextInt(LOST_ANSWER_INTERVAL) == 0) {
                fleet.platform().loseAnswers(1 + random.nextInt(2));
            }
            try {
                Base base = publisher.readBase();
                Result result = publisher
                        .publish(
                                base,
                                ConfigFleet.with(
                                        base.state(),
                                        ConfigFleet.organisation(
                                                "office-" + random.nextInt(OPERATORS), operator * 1_000 + i + 1)),
                                operationId)
                        .result();
                told.put(operationId, result.name());
            } catch (LaburnummoorException unknown) {
                told.put(operationId, unknown.errorCode().code());
            }
        }
    }

    private void observe(ConfigFleet fleet, AtomicBoolean running) {
        Map<ConfigNode, Long> seen = new HashMap<>();
        while (running.get()) {
            for (ConfigNode node : fleet.nodes()) {
                long revision = node.revision();
                Long before = seen.put(node, revision);
                if (before != null && revision < before) {
                    reverts.incrementAndGet();
                }
            }
            sleepMillis(2);
        }
    }

    private static void sleepMillis(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private ScenarioResult result(ConfigFleet fleet, long headRevision, long convergedMillis) {
        ConfigRepository repository = fleet.repository();
        Map<String, Integer> history = new HashMap<>();
        ConfigState state = ConfigState.EMPTY;
        long halfApplied = 0;
        Head head = repository.head();
        for (long revision = 1; head != null && revision <= headRevision; revision++) {
            ConfigDelta delta = revision == headRevision ? head.delta() : repository.delta(revision);
            history.merge(delta.operationId(), 1, Integer::sum);
            ConfigState next = state.apply(delta);
            if (next == null) {
                halfApplied++;
                break;
            }
            state = next;
        }
        String digest = state.digest();
        long lost = told.entrySet().stream()
                .filter(each -> each.getValue().equals("ACCEPTED") && history.getOrDefault(each.getKey(), 0) != 1)
                .count();
        long falseConflicts = told.entrySet().stream()
                .filter(each -> each.getValue().equals("CONFLICT") && history.containsKey(each.getKey()))
                .count();
        long diverged = fleet.nodes().stream()
                .filter(node -> !node.replica().state().digest().equals(digest))
                .count();
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        figures.put("operations", told.size()).put("revisions", headRevision);
        figures.put("accepted", count("ACCEPTED")).put("conflicts", count("CONFLICT"));
        figures.put("outcome_unknown", count("outcome_unknown"));
        figures.put("accepted_but_lost", lost).put("conflicts_but_accepted", falseConflicts);
        figures.put("half_applied", halfApplied).put("reverts_on_nodes", reverts.get());
        figures.put("diverged_nodes", diverged).put("converged_after_last_change_millis", convergedMillis);
        long violations = lost + falseConflicts + halfApplied + reverts.get() + diverged;
        return new ScenarioResult(violations, violations == 0 && convergedMillis >= 0, figures);
    }

    private long count(String outcome) {
        return told.values().stream().filter(outcome::equals).count();
    }
}
