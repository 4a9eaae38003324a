package io.laburnummoor.core.process;

import java.util.HashMap;
import java.util.Map;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.connection.UpstreamState;
import io.laburnummoor.core.version.OrganisationDeclaration;

/**
 * This router's share of the declared limits of organisations and of the learned concurrency of engines. The generation
 * timer calls {@link #refresh()}; any thread reads the limits.
 */
public final class SharedLimits implements AdmissionLimits {
    private final ConfigHolder config;
    private final RoutingTable routing;
    private final DemandTable demand;
    private final Clock clock;
    private final Snapshot<Map<String, Integer>> targetByService = new Snapshot<>(Map.of());
    private final Snapshot<Map<String, Integer>> concurrencyByService = new Snapshot<>(Map.of());

    /** Creates limits that follow the given configuration, upstreams and demand. */
    public SharedLimits(ConfigHolder config, RoutingTable routing, DemandTable demand, Clock clock) {
        this.config = config;
        this.routing = routing;
        this.demand = demand;
        this.clock = clock;
    }

    /** Recomputes the concurrency of the services from the upstreams that are available now. */
    public void refresh() {
        long nowMillis = clock.nowMillis();
        Map<String, Integer> targets = new HashMap<>();
        for (UpstreamState each : routing.snapshot().all()) {
            if (each.isAvailable(nowMillis)) {
                targets.merge(each.upstream().service(), each.concurrencyTarget(), Integer::sum);
            }
        }
        targetByService.replace(Map.copyOf(targets));
        targets.replaceAll((service, target) -> ownShare(target, DemandTable.serviceKey(service)));
        concurrencyByService.replace(Map.copyOf(targets));
    }

    /** Returns the target for concurrent requests on the available upstreams of a service, over all routers. */
    public int serviceTarget(String service) {
        return targetByService.get().getOrDefault(service, 0);
    }

    /** Unlimited while no upstream is available, so that a request is admitted and fails with the actual reason. */
    @Override
    public int serviceConcurrency(String service) {
        return concurrencyByService.get().getOrDefault(service, Integer.MAX_VALUE);
    }

    @Override
    public int organisationConcurrency(String organisation) {
        OrganisationDeclaration declared = config.current().organisation(organisation);
        return declared == null ? 1 : ownShare(declared.maxConcurrent(), DemandTable.organisationKey(organisation));
    }

    @Override
    public double organisationTokensPerSecond(String organisation) {
        OrganisationDeclaration declared = config.current().organisation(organisation);
        return declared == null
                ? 1
                : Math.max(1, declared.tokensPerSecond() * demand.share(DemandTable.organisationKey(organisation)));
    }

    private int ownShare(int limit, long key) {
        return Math.max(1, (int) Math.ceil(limit * demand.share(key)));
    }
}
