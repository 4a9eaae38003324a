package io.laburnummoor.agent.process;

import java.io.IOException;
import java.net.InetAddress;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.AnswerJournal;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.exporter.httpserver.HTTPServer;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.jspecify.annotations.Nullable;

/** Serves {@code /metrics} and {@code /-/healthy}. */
final class MetricsServer implements Service {
    private final AgentSettings settings;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private @Nullable HTTPServer server;

    MetricsServer(AgentSettings settings, AnswerJournal journal) {
        this.settings = settings;
        GaugeWithCallback.builder()
                .name("laburnummoor_journal_size_bytes")
                .help("Estimated memory of journaled answers in bytes.")
                .callback(callback -> callback.call(journal.sizeBytes()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("laburnummoor_journal_entries")
                .help("Number of journaled answers.")
                .callback(callback -> callback.call(journal.size()))
                .register(registry);
    }

    @Override
    public void start() {
        try {
            server = HTTPServer.builder()
                    .inetAddress(InetAddress.getByName(settings.host()))
                    .port(settings.metricsPort())
                    .registry(registry)
                    .buildAndStart();
        } catch (IOException cause) {
            throw new LaburnummoorException(
                    ErrorCode.INVALID_SETTINGS, "cannot listen on port " + settings.metricsPort(), cause);
        }
    }

    @Override
    public void stop() {
        HTTPServer running = server;
        if (running != null) {
            running.close();
        }
    }
}
