package io.laburnummoor.agent.process;

import java.net.URI;
import java.util.List;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.laburnummoor.agent.connection.UpstreamProbe;
import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.AnswerJournal;
import io.laburnummoor.wire.process.JsonHttp;

/** Wires the objects of an agent. */
public final class AgentModule extends AbstractModule {
    private static final int PROBE_TIMEOUT_MILLIS = 1_000;

    private final AgentSettings settings;

    /** Creates a module for the given settings. */
    public AgentModule(AgentSettings settings) {
        this.settings = settings;
    }

    @Provides
    @Singleton
    AnswerJournal journal() {
        return new AnswerJournal(settings.journalMaxBytes(), settings.journalRetentionMillis(), Clock.monotonic());
    }

    @Provides
    @Singleton
    UpstreamProbe probe() {
        URI address = URI.create("http://" + settings.upstreamHost() + ":" + settings.upstreamPort() + "/health");
        return new UpstreamProbe(new JsonHttp(PROBE_TIMEOUT_MILLIS), address, System.currentTimeMillis());
    }

    @Provides
    @Singleton
    List<Service> services(AnswerJournal journal, UpstreamProbe probe) {
        AgentHandler handler = new AgentHandler(settings.agentId(), probe, journal);
        return List.of(probe, new MetricsServer(settings, journal), new AgentServer(settings, handler, journal));
    }
}
