package io.laburnummoor.core.process;

import java.util.LinkedHashMap;
import java.util.Map;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.version.UpstreamOrder;

/**
 * Executes a rollout controller's orders on an agent, on behalf of an upstream that ignores fencing tokens. It rejects
 * stale and expired orders and does not execute an order twice.
 *
 * <p>The current token is read from the store for each order, not only after a restart: an agent that has not yet
 * received anything from the current controller would otherwise accept an order of its predecessor. Orders are rare, so
 * one read for each is cheap. Orders are executed one at a time.
 */
public final class FencedOrderExecutor {
    private static final int MAX_COMPLETED_ORDER_IDS = 1_000;

    private final KeyValueStore store;
    private final Upstream upstream;
    private final Clock wallClock;
    private final Map<String, Boolean> completedOrderIds = new LinkedHashMap<>();
    private long highestToken;

    /** Creates an executor in front of an upstream. */
    public FencedOrderExecutor(KeyValueStore store, Upstream upstream, Clock wallClock) {
        this.store = store;
        this.upstream = upstream;
        this.wallClock = wallClock;
    }

    /** Executes an order unless it is stale, expired or already done. */
    public synchronized UpstreamOrder.Result execute(UpstreamOrder order) {
        if (completedOrderIds.containsKey(order.id())) {
            return UpstreamOrder.Result.DONE;
        }
        if (wallClock.nowMillis() > order.deadlineMillis()) {
            return UpstreamOrder.Result.EXPIRED;
        }
        if (order.fencingToken() < highestToken) {
            return UpstreamOrder.Result.STALE;
        }
        try {
            VersionedValue storedToken = store.get(ControllerLease.FENCING_TOKEN_KEY);
            long currentToken = storedToken == null ? 0 : Long.parseLong(storedToken.value());
            highestToken = Math.max(highestToken, currentToken);
            if (order.fencingToken() < highestToken) {
                return UpstreamOrder.Result.STALE;
            }
            if (order.fencingToken() > currentToken) {
                // A controller stores its token before it uses it, so this read was stale.
                return UpstreamOrder.Result.FENCE_UNKNOWN;
            }
        } catch (LaburnummoorException unavailable) {
            return UpstreamOrder.Result.FENCE_UNKNOWN;
        }
        // After a restart of the agent, only the upstream can tell whether the order was already executed.
        if (!upstream.isDone(order) && !upstream.execute(order)) {
            return UpstreamOrder.Result.FAILED;
        }
        recordCompleted(order.id());
        return UpstreamOrder.Result.DONE;
    }

    private void recordCompleted(String id) {
        completedOrderIds.put(id, true);
        if (completedOrderIds.size() > MAX_COMPLETED_ORDER_IDS) {
            completedOrderIds.remove(completedOrderIds.keySet().iterator().next());
        }
    }

    /** The upstream that executes orders. */
    public interface Upstream {
        /** Returns whether the upstream is already in the state that the order requests. */
        boolean isDone(UpstreamOrder order);

        /** Executes an order and returns whether the upstream has confirmed it. */
        boolean execute(UpstreamOrder order);
    }
}
