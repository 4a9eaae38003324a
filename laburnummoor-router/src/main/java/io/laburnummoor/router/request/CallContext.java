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
 * Dependencies shared by all calls to plain services.
 *
 * @param routerName name of this router
 * @param clock monotonic clock
 * @param wallClock wall clock, for deadlines that are shared with other routers
 * @param routing table of the known upstreams
 * @param selector selects upstreams
 * @param client sends calls to upstreams
 * @param claims client for the claims of non-idempotent calls
 * @param retryBudget limits retries of idempotent calls
 * @param timer runs the timeouts of claims and releases
 * @param metrics metrics of claims and calls
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

    /** Returns the best upstream of a service that is not excluded, or null if there is none. */
    @Nullable
    UpstreamState select(String service, long hash, @Nullable String lostFailureDomain, Set<String> excludedIds) {
        return selector.select(
                routing.snapshot(),
                new SelectionContext(service, null, "", hash, lostFailureDomain, excludedIds, clock.nowMillis()));
    }
}
