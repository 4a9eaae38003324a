package io.laburnummoor.router.process;

import com.codahale.metrics.health.HealthCheck;
import io.laburnummoor.core.Clock;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.RoutingTable;

/** A router is ready when a configuration is in force and an agent has answered. */
public final class ReadinessCheck extends HealthCheck {
    private final ConfigHolder config;
    private final RoutingTable routing;
    private final Clock clock;

    /** Creates a check of the given state. */
    public ReadinessCheck(ConfigHolder config, RoutingTable routing, Clock clock) {
        this.config = config;
        this.routing = routing;
        this.clock = clock;
    }

    /** Returns whether the balancer may send requests to this router. */
    public boolean isReady() {
        long nowMillis = clock.nowMillis();
        return config.current().revision() > 0
                && routing.snapshot().all().stream().anyMatch(each -> each.isAgentAlive(nowMillis));
    }

    @Override
    protected Result check() {
        return isReady() ? Result.healthy() : Result.unhealthy("no configuration or no agent");
    }
}
