package io.laburnummoor.bench.process;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.ControllerLease;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.wire.connection.ThriftConnection;
import io.laburnummoor.wire.generated.Order;
import io.laburnummoor.wire.generated.OrderKind;
import io.laburnummoor.wire.generated.OrderResult;
import io.laburnummoor.wire.generated.OrderService;

/**
 * Controllers lose the lease while they are paused and come back, orders are repeated, agents restart and the key-value
 * service fails; no stale order may reach an engine that ignores fencing tokens, and none may run twice.
 */
final class StaleOrderScenario implements Scenario {
    private static final int ACTIONS = 400;
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final long ORDER_TIME_MILLIS = 600_000;

    private final Map<OrderResult, Integer> results = new EnumMap<>(OrderResult.class);
    private final List<Long> tokens = new ArrayList<>();
    private final List<Order> sent = new ArrayList<>();
    private long staleExecuted;
    private int restarts;
    private int takeovers;
    private int failures;

    @Override
    public ScenarioResult run(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        EngineSettings settings = new EngineSettings("v1", 50, 20, seed);
        try (LocalDeployment deployment = new LocalDeployment(List.of("sapporo"), 1, 0, settings)) {
            deployment.start();
            LocalDeployment.EngineNode node = deployment.engines().get(0);
            takeOver(deployment);
            for (int i = 0; i < ACTIONS; i++) {
                int action = random.nextInt(100);
                if (action < 4) {
                    node.restartAgent();
                    restarts++;
                } else if (action < 10) {
                    deployment.platform().setDown(false);
                    takeOver(deployment);
                } else if (action < 14) {
                    deployment.platform().setDown(action % 2 == 0);
                } else if (action < 35 && !sent.isEmpty()) {
                    send(node, sent.get(random.nextInt(sent.size())));
                } else {
                    int recent = Math.max(0, tokens.size() - 3);
                    long token = tokens.get(recent + random.nextInt(tokens.size() - recent));
                    Order order = new Order(
                            "order-" + i,
                            token,
                            OrderKind.LOAD_ADAPTER,
                            "adapter-" + i,
                            System.currentTimeMillis() + ORDER_TIME_MILLIS);
                    sent.add(order);
                    send(node, order);
                }
            }
            return result(node.engine().executedOrders());
        }
    }

    /** The holder of the lease is paused, the lease lapses, and another router takes over with a higher token. */
    private void takeOver(LocalDeployment deployment) {
        KeyValueStore store = deployment.keyValueStore();
        VersionedValue held = store.get(ControllerLease.LEASE_KEY);
        if (held != null) {
            store.delete(ControllerLease.LEASE_KEY, held.version());
        }
        ControllerLease lease = new ControllerLease(store, "router-" + takeovers++);
        if (lease.renewOrAcquire()) {
            tokens.add(lease.fencingToken());
        }
    }

    private void send(LocalDeployment.EngineNode node, Order order) {
        int executedBefore = node.engine().executedOrders().size();
        try (ThriftConnection<OrderService.Client> connection = new ThriftConnection<>(
                node.upstream().host(),
                node.upstream().agentPort(),
                TIMEOUT_MILLIS,
                "orders",
                OrderService.Client::new)) {
            OrderResult result = connection.call(each -> each.execute(order));
            results.merge(result, 1, Integer::sum);
        } catch (LaburnummoorException unanswered) {
            failures++;
        }
        boolean executed = node.engine().executedOrders().size() > executedBefore;
        staleExecuted += executed && order.getToken() < tokens.get(tokens.size() - 1) ? 1 : 0;
    }

    private ScenarioResult result(List<EngineStandIn.ExecutedOrder> executed) {
        long repeated = 0;
        Set<String> ids = new HashSet<>();
        for (EngineStandIn.ExecutedOrder each : executed) {
            repeated += ids.add(each.orderId()) ? 0 : 1;
        }
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        figures.put(
                "orders_sent", results.values().stream().mapToInt(each -> each).sum() + failures);
        figures.put("orders_executed", executed.size()).put("controllers", takeovers);
        figures.put("agent_restarts", restarts).put("unanswered", failures);
        results.forEach((result, count) -> figures.put("result_" + result.name().toLowerCase(Locale.ROOT), count));
        figures.put("stale_executed", staleExecuted).put("executed_twice", repeated);
        boolean exercised = results.containsKey(OrderResult.DONE) && results.containsKey(OrderResult.STALE);
        return new ScenarioResult(staleExecuted + repeated, staleExecuted + repeated == 0 && exercised, figures);
    }
}
