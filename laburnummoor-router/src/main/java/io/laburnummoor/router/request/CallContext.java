package io.laburnummoor.router.request;

import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.connection.UpstreamState;
import io.laburnummoor.core.process.CallRetryBudget;
import io.laburnummoor.core.process.RoutingTable;
import io.laburnummoor.core.process.SelectionContext;
import io.laburnummoor.core.process.UpstreamSelector;
import io.laburnummoor.router.process.ClaimClient;
import io.laburnummoor.router.process.ClaimMetrics;
import io.laburnummoor.wire.request.PlainServiceClient;
import org.jspecify.annotations.Nullable;

/**
 * What every call to a plain service shares.
 *
 * @param routerName name of this router
 * @param clock monotonic clock
 * @param wallClock wall clock, for deadlines that other routers see
 * @param routing known upstreams
 * @param selector chooses upstreams
 * @param client forwards calls
 * @param claims claims of non-idempotent calls
 * @param retryBudget bounds repetitions of idempotent calls
 * @param timer ends waits for claims
 * @param metrics metrics
 */
public record CallContext(
        String routerName,
        Clock clock,
        Clock wallClock,
        RoutingTable routing,
        UpstreamSelector selector,
        PlainServiceClient client,
        ClaimClient claims,
        CallRetryBudget retryBudget,
        ScheduledExecutorService timer,
        ClaimMetrics metrics) {

    /** Returns the best upstream of a service outside the excluded ones, or null. */
    @Nullable
    UpstreamState select(String service, long hash, @Nullable String lostFailureDomain, Set<String> excludedIds) {
        return selector.select(
                routing.snapshot(),
                new SelectionContext(service, null, "", hash, lostFailureDomain, excludedIds, clock.nowMillis()));
    }
}
