package io.laburnummoor.router.process;

import java.util.Locale;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.request.AttemptFailure;
import io.laburnummoor.core.request.AttemptReason;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counters of a router. */
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

    /** Returns the registry with all metrics of this router. */
    public PrometheusRegistry registry() {
        return registry;
    }

    /** Counts a generation that starts to run. */
    public void generationStarted() {
        generationsRunning.inc();
    }

    /** Counts a generation that no longer runs. */
    public void generationEnded() {
        generationsRunning.dec();
    }

    /** Returns the number of running generations. */
    public int runningGenerations() {
        return (int) generationsRunning.get();
    }

    /** Counts the start of an attempt. */
    public void attemptStarted(AttemptReason reason) {
        attemptsStarted.labelValues(label(reason)).inc();
    }

    /** Counts the loss of an attempt. */
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

    /** Counts an answer that this router continues after another one. */
    public void answerTakenOver() {
        answersTakenOver.inc();
    }

    /** Counts delivered tokens. */
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
