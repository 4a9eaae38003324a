package io.laburnummoor.agent.process;

import java.net.URI;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.laburnummoor.agent.connection.UpstreamProbe;
import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.AnswerJournal;
import io.laburnummoor.core.process.FencedOrderExecutor;
import io.laburnummoor.wire.connection.HttpUpstreamCommands;
import io.laburnummoor.wire.generated.AgentService;
import io.laburnummoor.wire.generated.OrderService;
import io.laburnummoor.wire.process.EtcdKeyValueStore;
import io.laburnummoor.wire.process.JsonHttp;
import org.apache.thrift.TProcessor;

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
        Map<String, TProcessor> processors = new LinkedHashMap<>();
        processors.put("agent", new AgentService.Processor<>(handler));
        if (!settings.keyValueAddress().isEmpty()) {
            processors.put("orders", new OrderService.Processor<>(orders()));
        }
        return List.of(
                probe, new MetricsServer(settings, journal), new AgentServer(settings, handler, processors, journal));
    }

    private OrderHandler orders() {
        JsonHttp http = new JsonHttp(PROBE_TIMEOUT_MILLIS);
        URI upstream = URI.create("http://" + settings.upstreamHost() + ":" + settings.upstreamPort());
        return new OrderHandler(new FencedOrderExecutor(
                new EtcdKeyValueStore(http, URI.create(settings.keyValueAddress())),
                new HttpUpstreamCommands(http, upstream),
                Clock.wall()));
    }
}
