package io.laburnummoor.router.process;

import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.health.HealthCheck;
import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.RoutingTable;

/**
 * Reports a router as ready while a configuration is in force, at least one agent is alive and the router is not
 * stopping.
 */
public final class ReadinessCheck extends HealthCheck implements Service {
    /** Time for the load balancer to notice that a router is not ready; the router serves requests until then. */
    private static final long BALANCER_DETECTION_MILLIS = 2_000;

    private final long detectionMillis;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final ConfigHolder config;
    private final RoutingTable routing;
    private final Clock clock;

    /** Creates a check; a stop waits for at most the drain time. */
    public ReadinessCheck(ConfigHolder config, RoutingTable routing, Clock clock, long drainMillis) {
        this.detectionMillis = Math.min(BALANCER_DETECTION_MILLIS, drainMillis);
        this.config = config;
        this.routing = routing;
        this.clock = clock;
    }

    /** Returns whether the load balancer may send requests to this router. */
    public boolean isReady() {
        long nowMillis = clock.nowMillis();
        return !stopping.get()
                && config.current().revision() > 0
                && routing.snapshot().all().stream().anyMatch(each -> each.isAgentAlive(nowMillis));
    }

    @Override
    public void start() {}

    /** Reports this router as not ready and waits until the load balancer has had time to notice. */
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
        return isReady() ? Result.healthy() : Result.unhealthy("stopping, no configuration in force or no live agent");
    }
}
