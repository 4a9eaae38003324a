package io.laburnummoor.gateway.process;

import java.util.concurrent.atomic.AtomicBoolean;

import io.laburnummoor.core.process.ConfigFreshness;
import io.laburnummoor.core.process.Supervisor;

/**
 * Decides whether the load balancer should send new connections to this router. Evaluated on an event loop at each
 * readiness check; logs each change of the result.
 */
public final class Readiness {
    private final GatewayState state;
    private final ConfigFreshness freshness;
    private final DecisionLog log;
    private final Supervisor supervisor;
    private final long revocationMillis;
    private final AtomicBoolean lastReady = new AtomicBoolean();

    public Readiness(
            GatewayState state,
            ConfigFreshness freshness,
            DecisionLog log,
            Supervisor supervisor,
            long revocationMillis) {
        this.state = state;
        this.freshness = freshness;
        this.log = log;
        this.supervisor = supervisor;
        this.revocationMillis = revocationMillis;
    }

    /**
     * Returns whether requests can be served: the process is not stopping and lacks no thread, the configuration is
     * known and recent, and there are upstreams.
     */
    public boolean isReady() {
        boolean fresh = freshness.isWithinRevocationBound(revocationMillis);
        boolean sound = supervisor.isSound();
        boolean ready = !state.isDraining()
                && sound
                && state.config() != null
                && fresh
                && state.instances().size() > 0;
        if (lastReady.getAndSet(ready) != ready) {
            log.line("readiness_changed")
                    .flag("ready", ready)
                    .flag("draining", state.isDraining())
                    .flag("threads_sound", sound)
                    .flag("config_known", state.config() != null)
                    .number("config_age_ms", freshness.ageMillis())
                    .number("upstreams", state.instances().size())
                    .write();
        }
        return ready;
    }
}
