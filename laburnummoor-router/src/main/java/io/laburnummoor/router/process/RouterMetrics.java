package io.laburnummoor.router.process;

import java.util.Locale;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.request.AttemptFailure;
import io.laburnummoor.core.request.AttemptReason;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of generations on this router, and the registry for all of its metrics. */
public final class RouterMetrics {
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter attemptsStarted = counter("attempts_started", "Attempts started on engines.", "reason");
    private final Counter attemptsLost = counter("attempts_lost", "Attempts that ended early.", "failure");
    private final Counter generationsFailed = counter("generations_failed", "Generations ended with an error.", "code");
    private final Counter generationsFinished = counter("generations_finished", "Generations ended normally.");
    private final Counter answersTakenOver = counter("answers_taken_over", "Answers continued from a journal.");
    private final Counter tokensDelivered = counter("tokens_delivered", "Tokens delivered to callers.");

    private final Gauge generationsRunning = Gauge.builder()
            .name("laburnummoor_generations_running")
            .help("Generations that run on this router.")
            .register(registry);

    public PrometheusRegistry registry() {
        return registry;
    }

    /** Increments the number of running generations. */
    public void generationStarted() {
        generationsRunning.inc();
    }

    /** Decrements the number of running generations. */
    public void generationEnded() {
        generationsRunning.dec();
    }

    public int runningGenerations() {
        return (int) generationsRunning.get();
    }

    /** Counts an attempt that was started on an engine. */
    public void attemptStarted(AttemptReason reason) {
        attemptsStarted.labelValues(label(reason)).inc();
    }

    /** Counts an attempt that ended early. */
    public void attemptLost(AttemptFailure failure) {
        attemptsLost.labelValues(label(failure)).inc();
    }

    /** Counts a generation that ended with an error. */
    public void generationFailed(ErrorCode code) {
        generationsFailed.labelValues(code.code()).inc();
    }

    /** Counts a generation that ended normally. */
    public void generationFinished() {
        generationsFinished.inc();
    }

    /** Counts an answer that another router has started and this router continues from the journal. */
    public void answerTakenOver() {
        answersTakenOver.inc();
    }

    /** Counts tokens that were delivered to callers. */
    public void tokensDelivered(int count) {
        tokensDelivered.inc(count);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder()
                .name("laburnummoor_" + name)
                .help(help)
                .labelNames(labels)
                .register(registry);
    }

    private static String label(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
