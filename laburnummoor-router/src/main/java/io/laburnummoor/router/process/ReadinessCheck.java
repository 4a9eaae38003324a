package io.laburnummoor.router.process;

import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.health.HealthCheck;
import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.RoutingTable;

/** A router is ready when a configuration is in force and an agent has answered, until it is asked to stop. */
public final class ReadinessCheck extends HealthCheck implements Service {
    /** Time in which the balancer notices that a router is not ready; requests are still served meanwhile. */
    private static final long BALANCER_DETECTION_MILLIS = 2_000;

    private final long detectionMillis;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final ConfigHolder config;
    private final RoutingTable routing;
    private final Clock clock;

    /** Creates a check of the given state. */
    public ReadinessCheck(ConfigHolder config, RoutingTable routing, Clock clock, long drainMillis) {
        this.detectionMillis = Math.min(BALANCER_DETECTION_MILLIS, drainMillis);
        this.config = config;
        this.routing = routing;
        this.clock = clock;
    }

    /** Returns whether the balancer may send requests to this router. */
    public boolean isReady() {
        long nowMillis = clock.nowMillis();
        return !stopping.get()
                && config.current().revision() > 0
                && routing.snapshot().all().stream().anyMatch(each -> each.isAgentAlive(nowMillis));
    }

    @Override
    public void start() {}

    /** Reports that this router is not ready and gives the balancer time to notice. */
    @Override
    public void stop() {
        stopping.set(true);
        try {
            Thread.sleep(detectionMillis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    protected Result check() {
        return isReady() ? Result.healthy() : Result.unhealthy("no configuration or no agent");
    }
}
