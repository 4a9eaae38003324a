package io.laburnummoor.router.process;

import java.util.function.DoubleSupplier;

import io.laburnummoor.core.process.AdmissionController;
import io.laburnummoor.core.process.DemandTable;
import io.laburnummoor.core.process.Quarantine;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Gauges of admission, of the digest exchange between routers and of the quarantine. */
final class AdmissionMetrics {
    private AdmissionMetrics() {}

    static void register(
            PrometheusRegistry registry, AdmissionController admission, DemandTable demand, Quarantine quarantine) {
        gauge(registry, "admission_waiting", "Requests that wait for admission.", () -> admission
                .demand()
                .waitingCount());
        gauge(registry, "admission_running", "Admitted requests that have not ended.", () -> admission
                .demand()
                .runningCount());
        gauge(registry, "exchange_known_routers", "Routers whose demand is known.", demand::knownRouterCount);
        gauge(registry, "quarantine_blocked", "Fingerprints that are blocked.", quarantine::blockedCount);
    }

    private static void gauge(PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name("laburnummoor_" + name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }
}
