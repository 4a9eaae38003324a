package io.laburnummoor.agent.connection;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.connection.UpstreamReport;
import io.laburnummoor.wire.process.JsonHttp;
import io.laburnummoor.wire.process.PeriodicTask;
import org.jboss.logging.Logger;

/** Asks the upstream for its health at a fixed interval and keeps the last report. */
public final class UpstreamProbe implements Service {
    private static final Logger LOGGER = Logger.getLogger(UpstreamProbe.class);
    private static final long PROBE_INTERVAL_MILLIS = 250;

    private final JsonHttp http;
    private final URI healthAddress;
    private final long agentIncarnation;
    private final Snapshot<UpstreamReport> lastReport;
    private final PeriodicTask task = new PeriodicTask("upstream-probe", PROBE_INTERVAL_MILLIS, this::probe);

    /** Creates a probe of the upstream at an address. */
    public UpstreamProbe(JsonHttp http, URI healthAddress, long agentIncarnation) {
        this.http = http;
        this.healthAddress = healthAddress;
        this.agentIncarnation = agentIncarnation;
        this.lastReport = new Snapshot<>(unanswered());
    }

    public UpstreamReport report() {
        return lastReport.get();
    }

    @Override
    public void start() {
        task.start();
    }

    @Override
    public void stop() {
        task.stop();
        http.stop();
    }

    private void probe() {
        try {
            UpstreamReport before = lastReport.get();
            UpstreamReport report = decode(http.get(healthAddress));
            lastReport.replace(report);
            if (before.upstreamIncarnation() != report.upstreamIncarnation()) {
                LOGGER.infof("upstream answers, incarnation %d", report.upstreamIncarnation());
            }
        } catch (IOException | RuntimeException failure) {
            if (lastReport.get().upstreamAlive()) {
                LOGGER.warnf("upstream does not answer: %s", failure.getMessage());
            }
            lastReport.replace(unanswered());
        }
    }

    private UpstreamReport decode(JsonNode health) {
        List<String> adapters = new ArrayList<>();
        health.path("adapters").forEach(each -> adapters.add(each.asText()));
        return new UpstreamReport(
                agentIncarnation,
                true,
                health.path("incarnation").asLong(),
                health.path("leaving").asBoolean(),
                health.path("running").asInt(),
                health.path("waiting").asInt(),
                health.path("version").asText(),
                List.copyOf(adapters));
    }

    private UpstreamReport unanswered() {
        return new UpstreamReport(agentIncarnation, false, 0, false, 0, 0, "", List.of());
    }
}
