package io.laburnummoor.router.process;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

import com.google.inject.AbstractModule;
import com.google.inject.Injector;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.RetryBudget;
import io.laburnummoor.core.process.RouterPeers;
import io.laburnummoor.core.process.RoutingTable;
import io.laburnummoor.core.process.UpstreamSelector;
import io.laburnummoor.core.version.TokenPace;
import io.laburnummoor.router.connection.JournalPeers;
import io.laburnummoor.router.request.GenerationContext;
import io.laburnummoor.router.version.ConfigFollower;
import io.laburnummoor.wire.process.EtcdKeyValueStore;
import io.laburnummoor.wire.process.JsonHttp;
import io.laburnummoor.wire.process.ThriftServer;
import io.laburnummoor.wire.process.VmListClient;
import io.laburnummoor.wire.request.HttpEngineClient;
import org.apache.thrift.TProcessor;

/** Wires the objects of a router. */
public final class RouterModule extends AbstractModule {
    private static final int PLATFORM_TIMEOUT_MILLIS = 2_000;
    private static final int PEER_WORKER_THREADS = 4;
    private static final int WRITER_THREADS = 32;
    /** Resumptions that may always prefill at the same time, so that a small deployment resumes at once. */
    private static final int MIN_RESUMPTIONS = 16;
    /** Above that, a fifth of the running generations: the loss of one failure domain in three resumes in two turns. */
    private static final int RESUMPTION_DIVISOR = 5;

    private final RouterSettings settings;

    /** Creates a module for the given settings. */
    public RouterModule(RouterSettings settings) {
        this.settings = settings;
    }

    @Override
    protected void configure() {
        bind(RouterSettings.class).toInstance(settings);
        bind(Clock.class).toInstance(Clock.monotonic());
        bind(ConfigHolder.class).toInstance(new ConfigHolder());
        bind(RoutingTable.class).toInstance(new RoutingTable());
        bind(RouterPeers.class).toInstance(new RouterPeers());
        bind(RouterMetrics.class).toInstance(new RouterMetrics());
        bind(HttpEngineClient.class).toInstance(new HttpEngineClient());
        bind(JsonHttp.class).toInstance(new JsonHttp(PLATFORM_TIMEOUT_MILLIS));
    }

    @Provides
    @Singleton
    KeyValueStore keyValueStore(JsonHttp http) {
        return new EtcdKeyValueStore(http, settings.keyValueAddress());
    }

    @Provides
    @Singleton
    JournalPeers journalPeers(RoutingTable routing, Clock clock) {
        return new JournalPeers(
                routing, settings.name(), settings.failureDomain(), settings.journalAgentsPerDomain(), clock);
    }

    @Provides
    @Singleton
    GenerationRegistry registry(
            Clock clock,
            ConfigHolder config,
            RoutingTable routing,
            HttpEngineClient engines,
            JournalPeers journals,
            RouterMetrics metrics) {
        ConcurrentHashMap<String, TokenPace> paces = new ConcurrentHashMap<>();
        GenerationContext context = new GenerationContext(
                settings.name(),
                clock,
                config,
                routing,
                UpstreamSelector.standard(),
                engines,
                journals,
                version -> paces.computeIfAbsent(version, added -> new TokenPace()),
                new RetryBudget(() -> Math.max(MIN_RESUMPTIONS, metrics.runningGenerations() / RESUMPTION_DIVISOR)),
                metrics);
        return new GenerationRegistry(context, settings.drainMillis());
    }

    @Provides
    @Singleton
    ReadinessCheck readiness(ConfigHolder config, RoutingTable routing, Clock clock) {
        return new ReadinessCheck(config, routing, clock);
    }

    @Provides
    @Singleton
    RouterHttpServer httpServer(
            GenerationRegistry registry, ConfigHolder config, ReadinessCheck readiness, RouterMetrics metrics) {
        CompletionsResource completions = new CompletionsResource(
                new RequestAuthenticator(config),
                registry,
                Executors.newFixedThreadPool(WRITER_THREADS, task -> new Thread(task, "caller-writer")),
                settings.maxBodyBytes());

        return new RouterHttpServer(settings, metrics, readiness, List.of(completions));
    }

    /** The services that other routers call, by name. */
    @Provides
    @Singleton
    ThriftServer peerServer() {
        Map<String, TProcessor> processors = new LinkedHashMap<>();
        return new ThriftServer(settings.host(), settings.peerPort(), PEER_WORKER_THREADS, processors);
    }

    @Provides
    @Singleton
    Membership membership(JsonHttp platform, RoutingTable routing, RouterPeers peers, Clock clock) {
        VmListClient vmList = new VmListClient(platform, settings.vmListAddress());
        return new Membership(routing, peers, vmList, settings.name(), clock);
    }

    @Provides
    @Singleton
    ConfigFollower configFollower(KeyValueStore store, ConfigHolder config) {
        return new ConfigFollower(store, config);
    }

    /** The services of a router in the order of their start. */
    @Provides
    @Singleton
    List<Service> services(Injector injector) {
        List<Class<? extends Service>> order = List.of(
                JsonHttp.class,
                ConfigFollower.class,
                Membership.class,
                HttpEngineClient.class,
                JournalPeers.class,
                ThriftServer.class,
                RouterHttpServer.class,
                GenerationRegistry.class);
        return order.stream().<Service>map(injector::getInstance).toList();
    }
}
