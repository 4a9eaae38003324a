package io.laburnummoor.router.process;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.request.ClaimOutcome;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of calls to plain services and of their claims. */
public final class ClaimMetrics {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final PrometheusRegistry registry;
    private final Counter calls;
    private final Counter claims;
    private final Counter retries;
    private final Histogram claimSeconds;

    /** Registers the metrics. */
    public ClaimMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        this.calls = Counter.builder()
                .name("laburnummoor_plain_calls")
                .help("Ended calls to plain services by kind and result code.")
                .labelNames("kind", "code")
                .register(registry);
        this.claims = Counter.builder()
                .name("laburnummoor_claims")
                .help("Answers to claims of non-idempotent calls.")
                .labelNames("outcome")
                .register(registry);
        this.retries = Counter.builder()
                .name("laburnummoor_plain_call_retries")
                .help("Idempotent calls sent again after a failure.")
                .register(registry);
        this.claimSeconds = Histogram.builder()
                .name("laburnummoor_claim_seconds")
                .help("Time from the request of a claim to its answer.")
                .register(registry);
    }

    /** Registers a gauge of the results and releases that are not yet durable. */
    public void registerUnrecordedGauge(ClaimClient client) {
        GaugeWithCallback.builder()
                .name("laburnummoor_claim_records_waiting")
                .help("Results and releases that are not yet durable.")
                .callback(callback -> callback.call(client.unrecordedCount()))
                .register(registry);
    }

    /** Counts a call that ended with a response, either from an upstream or recorded from an earlier call. */
    public void callAnswered(boolean idempotent) {
        calls.labelValues(kind(idempotent), "answered").inc();
    }

    /** Counts a call that ended with an error of this system. */
    public void callFailed(boolean idempotent, ErrorCode code) {
        calls.labelValues(kind(idempotent), code.code()).inc();
    }

    /** Counts the outcome of a claim and records the time from its request. */
    public void claimAnswered(ClaimOutcome.Kind kind, long durationMillis) {
        claims.labelValues(kind.name().toLowerCase(java.util.Locale.ROOT)).inc();
        claimSeconds.observe(durationMillis / MILLIS_PER_SECOND);
    }

    /** Counts a retry of an idempotent call. */
    public void callRetried() {
        retries.inc();
    }

    private static String kind(boolean idempotent) {
        return idempotent ? "idempotent" : "non_idempotent";
    }
}
