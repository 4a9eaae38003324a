package io.laburnummoor.router.process;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

import com.google.inject.AbstractModule;
import com.google.inject.Injector;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.AdmissionController;
import io.laburnummoor.core.process.AdmissionPolicy;
import io.laburnummoor.core.process.CallRetryBudget;
import io.laburnummoor.core.process.ClaimPolicy;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.ConfigReplica;
import io.laburnummoor.core.process.ConfigRepository;
import io.laburnummoor.core.process.DemandTable;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.PartitionLeases;
import io.laburnummoor.core.process.PartitionLog;
import io.laburnummoor.core.process.Quarantine;
import io.laburnummoor.core.process.ResumptionLimiter;
import io.laburnummoor.core.process.RouterPeers;
import io.laburnummoor.core.process.RoutingTable;
import io.laburnummoor.core.process.SharedLimits;
import io.laburnummoor.core.process.TrafficShares;
import io.laburnummoor.core.process.UpstreamSelector;
import io.laburnummoor.core.version.RolloutObservers;
import io.laburnummoor.core.version.TokenLatencyTracker;
import io.laburnummoor.router.connection.ClaimChannel;
import io.laburnummoor.router.connection.ConfigHandler;
import io.laburnummoor.router.connection.ConfigPeers;
import io.laburnummoor.router.connection.JournalPeers;
import io.laburnummoor.router.connection.RemoteClaimHolder;
import io.laburnummoor.router.request.CallContext;
import io.laburnummoor.router.request.GenerationContext;
import io.laburnummoor.router.version.ConfigFollower;
import io.laburnummoor.router.version.RolloutFollower;
import io.laburnummoor.wire.generated.ClaimService;
import io.laburnummoor.wire.generated.ConfigService;
import io.laburnummoor.wire.generated.ExchangeService;
import io.laburnummoor.wire.generated.RolloutService;
import io.laburnummoor.wire.process.EtcdKeyValueStore;
import io.laburnummoor.wire.process.JacksonSegmentCodec;
import io.laburnummoor.wire.process.JsonHttp;
import io.laburnummoor.wire.process.ThriftServer;
import io.laburnummoor.wire.process.VmListClient;
import io.laburnummoor.wire.request.HttpEngineClient;
import io.laburnummoor.wire.request.PlainServiceClient;
import io.laburnummoor.wire.version.ConfigCodec;
import org.apache.thrift.TProcessor;
import org.jboss.logging.Logger;

/** Guice bindings of a router. */
public final class RouterModule extends AbstractModule {
    private static final Logger LOGGER = Logger.getLogger(RouterModule.class);
    private static final int PLATFORM_TIMEOUT_MILLIS = 2_000;
    /** A thread blocks until the group commit of its batch of claims, so it serves only about five batches a second. */
    private static final int PEER_SERVER_THREADS = 32;

    private static final int CALLER_WRITER_THREADS = 32;
    /** Lower bound on concurrent resumptions in prefill, so that a small deployment resumes all streams at once. */
    private static final int MIN_CONCURRENT_RESUMES = 16;
    /**
     * Above the lower bound, a fifth of the running generations may be in prefill: after the loss of one failure domain
     * of three, its generations resume in two rounds.
     */
    private static final int CONCURRENT_RESUME_DIVISOR = 5;

    private final RouterSettings settings;

    public RouterModule(RouterSettings settings) {
        this.settings = settings;
    }

    @Override
    protected void configure() {
        install(new RolloutModule(settings));
        bind(RouterSettings.class).toInstance(settings);
        bind(Clock.class).toInstance(Clock.monotonic());
        bind(ConfigHolder.class).toInstance(new ConfigHolder());
        bind(ConfigReplica.class).toInstance(new ConfigReplica());
        bind(RoutingTable.class).toInstance(new RoutingTable());
        bind(RouterPeers.class).toInstance(new RouterPeers());
        bind(RouterMetrics.class).toInstance(new RouterMetrics());
        bind(PlainServiceClient.class).toInstance(new PlainServiceClient());
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
            Injector injector,
            RouterMetrics metrics) {
        ConcurrentHashMap<String, TokenLatencyTracker> latencyTrackers = new ConcurrentHashMap<>();
        GenerationContext context = new GenerationContext(
                settings.name(),
                clock,
                config,
                routing,
                UpstreamSelector.standard(),
                engines,
                journals,
                version -> latencyTrackers.computeIfAbsent(version, added -> new TokenLatencyTracker()),
                injector.getInstance(Quarantine.class),
                new ResumptionLimiter(() ->
                        Math.max(MIN_CONCURRENT_RESUMES, metrics.runningGenerations() / CONCURRENT_RESUME_DIVISOR)),
                metrics,
                injector.getInstance(TrafficShares.class),
                injector.getInstance(RolloutObservers.class));
        return new GenerationRegistry(
                context,
                injector.getInstance(AdmissionController.class),
                injector.getInstance(SharedLimits.class)::refresh,
                settings.drainMillis());
    }

    @Provides
    @Singleton
    DemandTable demandTable() {
        return new DemandTable(settings.name());
    }

    @Provides
    @Singleton
    Quarantine quarantine(RoutingTable routing, Clock clock) {
        return new Quarantine(routing, clock, Clock.wall());
    }

    @Provides
    @Singleton
    SharedLimits sharedLimits(ConfigHolder config, RoutingTable routing, DemandTable demand, Clock clock) {
        return new SharedLimits(config, routing, demand, clock);
    }

    @Provides
    @Singleton
    AdmissionController admission(SharedLimits limits, Clock clock) {
        return new AdmissionController(
                limits,
                AdmissionPolicy.DEFAULT,
                clock,
                failure -> LOGGER.error("admission failed unexpectedly", failure));
    }

    @Provides
    @Singleton
    RouterExchange exchange(
            RouterPeers peers,
            ConfigHolder config,
            AdmissionController admission,
            SharedLimits limits,
            DemandTable demand,
            Quarantine quarantine,
            RouterMetrics metrics,
            Clock clock) {
        AdmissionMetrics.register(metrics.registry(), admission, demand, quarantine);
        return new RouterExchange(
                settings.name(), peers, config, admission, limits, demand, quarantine, clock, Clock.wall());
    }

    @Provides
    @Singleton
    PartitionCommitter partitionCommitter(KeyValueStore store, Clock clock) {
        JacksonSegmentCodec codec = new JacksonSegmentCodec();
        return new PartitionCommitter(
                settings.name(),
                new PartitionLeases(store, settings.name(), clock),
                clock,
                partition -> new PartitionLog(
                        partition, store, codec, ClaimPolicy.STANDARD, Clock.wall(), () -> UUID.randomUUID()
                                .toString()));
    }

    @Provides
    @Singleton
    ClaimClient claimClient(PartitionCommitter local, RouterPeers peers, Clock clock) {
        return new ClaimClient(
                partition -> new ClaimChannel(partition, settings.name(), local, peers), clock, settings.drainMillis());
    }

    @Provides
    @Singleton
    PlainCalls plainCalls(
            Clock clock, RoutingTable routing, PlainServiceClient client, ClaimClient claims, RouterMetrics metrics) {
        ClaimMetrics claimMetrics = new ClaimMetrics(metrics.registry());
        claimMetrics.registerUnrecordedGauge(claims);
        CallContext context = new CallContext(
                settings.name(),
                clock,
                Clock.wall(),
                routing,
                UpstreamSelector.standard(),
                client,
                claims,
                new CallRetryBudget(),
                Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "call-timer")),
                claimMetrics);
        return new PlainCalls(context, settings.drainMillis());
    }

    @Provides
    @Singleton
    ReadinessCheck readiness(ConfigHolder config, RoutingTable routing, Clock clock) {
        return new ReadinessCheck(config, routing, clock, settings.drainMillis());
    }

    @Provides
    @Singleton
    RouterHttpServer httpServer(
            GenerationRegistry registry,
            PlainCalls plainCalls,
            ConfigHolder config,
            ReadinessCheck readiness,
            RouterMetrics metrics) {
        CompletionsResource completions = new CompletionsResource(
                new RequestAuthenticator(config),
                registry,
                Executors.newFixedThreadPool(CALLER_WRITER_THREADS, task -> new Thread(task, "caller-writer")),
                settings.maxBodyBytes());
        ServicesResource plainServices = new ServicesResource(
                new RequestAuthenticator(config),
                plainCalls,
                ClaimPolicy.STANDARD,
                Clock.wall(),
                settings.maxBodyBytes());
        return new RouterHttpServer(settings, metrics, readiness, List.of(completions, plainServices));
    }

    /** Serves the Thrift services that other routers call, multiplexed by service name. */
    @Provides
    @Singleton
    ThriftServer peerServer(Injector injector) {
        ConfigHandler configHandler = new ConfigHandler(
                settings.name(),
                settings.failureDomain(),
                injector.getInstance(ConfigReplica.class),
                injector.getInstance(ConfigHolder.class));
        ClaimServiceHandler claimHandler = new ClaimServiceHandler(injector.getInstance(PartitionCommitter.class));
        Map<String, TProcessor> processors = new LinkedHashMap<>();
        processors.put(ConfigHandler.SERVICE_NAME, new ConfigService.Processor<>(configHandler));
        processors.put(RemoteClaimHolder.SERVICE_NAME, new ClaimService.Processor<>(claimHandler));
        processors.put("rollouts", new RolloutService.Processor<>(injector.getInstance(RolloutService.Iface.class)));
        processors.put("exchange", new ExchangeService.Processor<>(injector.getInstance(RouterExchange.class)));
        return new ThriftServer(settings.host(), settings.peerPort(), PEER_SERVER_THREADS, processors);
    }

    @Provides
    @Singleton
    Membership membership(JsonHttp platform, RoutingTable routing, RouterPeers peers, Clock clock) {
        VmListClient vmList = new VmListClient(platform, settings.vmListAddress());
        return new Membership(routing, peers, vmList, settings.name(), clock);
    }

    @Provides
    @Singleton
    ConfigFollower configFollower(KeyValueStore store, ConfigReplica replica, ConfigHolder config, RouterPeers peers) {
        return new ConfigFollower(
                settings.name(),
                settings.failureDomain(),
                new ConfigRepository(store, new ConfigCodec()),
                replica,
                config,
                peers,
                new ConfigPeers());
    }

    /** Returns the services of a router in the order of their start. */
    @Provides
    @Singleton
    List<Service> services(Injector injector) {
        List<Class<? extends Service>> order = List.of(
                JsonHttp.class,
                Membership.class,
                ConfigFollower.class,
                HttpEngineClient.class,
                JournalPeers.class,
                PartitionCommitter.class,
                RolloutFollower.class,
                ThriftServer.class,
                RouterExchange.class,
                PlainServiceClient.class,
                ClaimClient.class,
                RouterHttpServer.class,
                PlainCalls.class,
                GenerationRegistry.class,
                ReadinessCheck.class);
        return order.stream().<Service>map(injector::getInstance).toList();
    }
}
