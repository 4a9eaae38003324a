package io.laburnummoor.core.process;

import java.util.LinkedHashMap;
import java.util.Map;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.version.UpstreamOrder;

/**
 * Rejects stale and repeated orders on behalf of upstreams that ignore fencing tokens.
 *
 * <p>The token in force is read from the key-value service for each order, not only after a restart: an agent that has
 * heard nothing from the present controller yet would otherwise accept an order of the one before. Orders are rare, so
 * this costs one read each. Orders are carried out one at a time.
 */
public final class FencedOrderExecutor {
    private static final int MAX_COMPLETED_ORDER_IDS = 1_000;

    private final KeyValueStore store;
    private final Upstream upstream;
    private final Clock wallClock;
    private final Map<String, Boolean> completedOrderIds = new LinkedHashMap<>();
    private long highestToken;

    /** Creates a gate in front of an upstream. */
    public FencedOrderExecutor(KeyValueStore store, Upstream upstream, Clock wallClock) {
        this.store = store;
        this.upstream = upstream;
        this.wallClock = wallClock;
    }

    /** Carries out an order unless it is stale, expired or done already. */
    public synchronized UpstreamOrder.Result execute(UpstreamOrder order) {
        if (completedOrderIds.containsKey(order.id())) {
            return UpstreamOrder.Result.DONE;
        }
        if (wallClock.nowMillis() > order.deadlineMillis()) {
            return UpstreamOrder.Result.EXPIRED;
        }
        if (order.token() < highestToken) {
            return UpstreamOrder.Result.STALE;
        }
        try {
            VersionedValue storedToken = store.get(ControllerLease.FENCING_TOKEN_KEY);
            long currentToken = storedToken == null ? 0 : Long.parseLong(storedToken.value());
            highestToken = Math.max(highestToken, currentToken);
            if (order.token() < highestToken) {
                return UpstreamOrder.Result.STALE;
            }
            if (order.token() > currentToken) {
                // A controller raises the token in force before it uses it, so this read was not current.
                return UpstreamOrder.Result.FENCE_UNKNOWN;
            }
        } catch (LaburnummoorException unavailable) {
            return UpstreamOrder.Result.FENCE_UNKNOWN;
        }
        // After a restart of the agent the upstream itself tells whether the order was carried out before.
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

    /** The upstream that carries out orders. */
    public interface Upstream {
        /** Returns whether the upstream is already in the state that the order asks for. */
        boolean isDone(UpstreamOrder order);

        /** Carries out an order and returns whether the upstream has confirmed it. */
        boolean execute(UpstreamOrder order);
    }
}
