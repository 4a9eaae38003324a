package io.laburnummoor.gateway.version;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.process.ChangeFeed;
import io.laburnummoor.core.process.ConfigFreshness;
import io.laburnummoor.core.process.GuardedTask;
import io.laburnummoor.core.process.InstanceRegistry;
import io.laburnummoor.core.process.PromptPartRecorder;
import io.laburnummoor.core.process.StorePollSchedule;
import io.laburnummoor.core.process.SupervisedThread;
import io.laburnummoor.core.process.Supervisor;
import io.laburnummoor.core.version.ForwardConfig;
import io.laburnummoor.gateway.process.DecisionLog;
import io.laburnummoor.gateway.process.GatewayMetrics;
import io.laburnummoor.gateway.process.GatewayState;
import io.laburnummoor.gateway.process.SocketAddresses;
import org.jspecify.annotations.Nullable;

/**
 * Follows the store on one thread. Publishes the configuration, the upstreams and the addresses of the other routers,
 * and passes changes of rollouts to a {@link RolloutFollower}. A single loop for all keys costs one call per interval,
 * however many keys change.
 */
public final class StoreFollower implements Service {
    private static final long UNKNOWN_VERSION = -1;
    private static final ChangeFeed.Batch NOTHING_READ = new ChangeFeed.Batch(List.of(), UNKNOWN_VERSION);

    private final ChangeFeed feed;
    private final StoreDocuments documents;
    private final GatewayState state;
    private final ConfigFreshness freshness;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final Clock clock;
    private final SupervisedThread thread;
    private final InstanceRegistry registry = new InstanceRegistry(this::isServiceKnown, new RegistryLog());
    private final Map<String, InetSocketAddress> addressByRouter = new TreeMap<>();
    private final String routerName;
    private final RolloutFollower rolloutFollower;
    private final PromptPartRecorder promptPartRecorder;
    private final StoreRestores restores;
    /** Versions of the entries in the latest complete read of the list, by key. */
    private Map<String, Long> readVersions = Map.of();
    /** Latest batch that was applied; its version is the one that is known of the store. */
    private ChangeFeed.Batch last = NOTHING_READ;

    private long pauseMillis = StorePollSchedule.RETRY_MILLIS;

    public StoreFollower(
            String routerName,
            RolloutFollower rolloutFollower,
            PromptPartRecorder promptPartRecorder,
            ChangeFeed feed,
            StoreDocuments documents,
            GatewayState state,
            ConfigFreshness freshness,
            DecisionLog log,
            GatewayMetrics metrics,
            Supervisor supervisor,
            Clock clock) {
        this.routerName = routerName;
        this.rolloutFollower = rolloutFollower;
        this.promptPartRecorder = promptPartRecorder;
        this.restores = new StoreRestores(rolloutFollower, promptPartRecorder, log, metrics);
        this.feed = feed;
        this.documents = documents;
        this.state = state;
        this.freshness = freshness;
        this.log = log;
        this.metrics = metrics;
        this.clock = clock;
        this.thread = new SupervisedThread("store", supervisor, this::run);
    }

    @Override
    public void start() {
        thread.start();
    }

    @Override
    public void stop() {
        thread.stop();
    }

    /** Starts with a complete read, since an earlier run may have ended between two changes. */
    private void run() {
        forgetVersion();
        Runnable guardedPoll = new GuardedTask(this::pollOnce, this::onFault);
        Runnable guardedExpiry = new GuardedTask(this::applyDeadlines, this::onFault);
        while (!thread.isStopping()) {
            pauseMillis = StorePollSchedule.RETRY_MILLIS;
            guardedPoll.run();
            guardedExpiry.run();
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
        }
    }

    private void pollOnce() {
        try {
            poll();
            pauseMillis = StorePollSchedule.pauseMillis(last, isCatchingUp());
        } catch (LaburnummoorException failure) {
            onStoreFailure(failure);
        }
    }

    private void applyDeadlines() {
        boolean dropped = registry.dropExpired(clock.nowMillis());
        if (registry.listPersistent(clock.nowMillis()) || dropped) {
            publish();
        }
    }

    /** Starts again from a complete read, since the failed poll may have applied a part of its changes. */
    private void onFault(Throwable fault) {
        forgetVersion();
        metrics.storeCall(false);
        log.line("store_follower_fault").text("error", fault.toString()).write();
    }

    private void poll() {
        ConfigFreshness.ReadStart readStart = freshness.startRead();
        ChangeFeed.Batch batch = isVersionKnown() ? readChanges() : null;
        if (batch == null) {
            readAll();
        } else {
            apply(batch.changes());
            state.recentChanges().append(batch);
            last = batch;
        }
        metrics.storeCall(true);
        freshness.confirmRead(readStart.plus(last.currentAtOffsetMillis()));
        if (registry.recordStoreAvailable(clock.nowMillis())) {
            log.line("store_connected").number("store_version", last.version()).write();
        }
    }

    private ChangeFeed.@Nullable Batch readChanges() {
        boolean unsettled = isCatchingUp() || !registry.isStoreAvailable();
        return feed.changesAfter("", last.version(), StorePollSchedule.waitMillis(last, unsettled));
    }

    private boolean isCatchingUp() {
        return registry.isCatchingUp(clock.nowMillis());
    }

    private boolean isVersionKnown() {
        return last.version() != UNKNOWN_VERSION;
    }

    private void forgetVersion() {
        last = NOTHING_READ;
        readVersions = Map.of();
        state.recentChanges().clear();
    }

    private void readAll() {
        if (isVersionKnown()) {
            log.line("store_history_lost")
                    .number("store_version", last.version())
                    .write();
            registry.recordStoreUnavailable(clock.nowMillis());
        }
        forgetVersion();
        ChangeFeed.Batch config = feed.readAll(documents.configPrefix());
        ChangeFeed.Batch listed = feed.readAll(documents.instancePrefix());
        if (restores.recordRead(Math.min(config.version(), listed.version()))) {
            // Upstreams whose entries were lost with the latest writes are listed again, as after an outage.
            registry.recordStoreUnavailable(clock.nowMillis());
        }
        apply(config.changes());
        addressByRouter.clear();
        for (String prefix : documents.sharedPrefixes()) {
            apply(feed.readAll(prefix).changes());
        }
        apply(listed.changes());
        registry.retain(
                listed.changes().stream().map(ChangeFeed.Change::key).collect(Collectors.toSet()), clock.nowMillis());
        publish();
        readVersions = listed.changes().stream()
                .collect(Collectors.toMap(ChangeFeed.Change::key, ChangeFeed.Change::version, Math::max));
        last = new ChangeFeed.Batch(List.of(), Math.min(config.version(), listed.version()));
        state.recentChanges().restart(last.version());
    }

    private void onStoreFailure(LaburnummoorException failure) {
        metrics.storeCall(false);
        if (registry.recordStoreUnavailable(clock.nowMillis()) || !isVersionKnown()) {
            log.line("store_lost")
                    .text("error", failure.getMessage())
                    .number("store_version", last.version())
                    .number("config_age_ms", freshness.ageMillis())
                    .write();
        }
    }

    private void apply(List<ChangeFeed.Change> changes) {
        boolean listChanged = false;
        for (ChangeFeed.Change each : changes) {
            listChanged |= applyIfReadable(each);
        }
        if (listChanged) {
            publish();
        }
    }

    /**
     * Applies a change and returns whether it changed the list of upstreams. A document that cannot be read is skipped,
     * because it must not hold up the others: the store would return it again at each read.
     */
    private boolean applyIfReadable(ChangeFeed.Change change) {
        try {
            return apply(change);
        } catch (RuntimeException | StackOverflowError fault) {
            log.line("store_document_ignored")
                    .text("key", change.key())
                    .number("store_version", change.version())
                    .text("error", fault.toString())
                    .write();
            return false;
        }
    }

    private boolean apply(ChangeFeed.Change change) {
        if (documents.isInstance(change.key())) {
            return applyInstance(change);
        }
        if (documents.isConfig(change.key())) {
            applyConfig(change);
        } else if (change.key().startsWith(RouterRegistration.KEY_PREFIX)) {
            applyRouter(change);
        } else if (change.key().startsWith(PromptPartRecorder.KEY_PREFIX)) {
            promptPartRecorder.apply(change.key(), change.value(), change.version());
        } else {
            rolloutFollower.apply(change);
        }
        return false;
    }

    private void applyConfig(ChangeFeed.Change change) {
        String value = change.value();
        ForwardConfig read = value == null ? null : documents.readConfig(value);
        ForwardConfig before = state.config();
        if (read == null || (before != null && read.version() < before.version())) {
            log.line("config_ignored")
                    .number("store_version", change.version())
                    .number("config_version", read == null ? 0 : read.version())
                    .write();
            return;
        }
        state.replaceConfig(read);
        state.recordConfigChange(change);
        metrics.retainNames(read.routeNames(), read.serviceNames());
        log.line("config_in_force")
                .number("config_version", read.version())
                .number("store_version", change.version())
                .write();
    }

    private void applyRouter(ChangeFeed.Change change) {
        String address = change.value();
        String name = change.key().substring(RouterRegistration.KEY_PREFIX.length());
        if (name.equals(routerName)) {
            return;
        }
        InetSocketAddress parsed = address == null ? null : SocketAddresses.parse(address);
        if (parsed == null) {
            addressByRouter.remove(name);
        } else {
            addressByRouter.put(name, parsed);
        }
        state.replacePeers(addressByRouter);
        log.line(address == null ? "router_gone" : "router_listed")
                .text("router", name)
                .number("routers", state.routerCount())
                .write();
    }

    private boolean applyInstance(ChangeFeed.Change change) {
        // The changes after a complete read repeat some that it has shown; a repeated entry is no late heartbeat.
        if (change.version() <= readVersions.getOrDefault(change.key(), UNKNOWN_VERSION)) {
            return false;
        }
        String value = change.value();
        UpstreamInstance read = value == null ? null : documents.readInstance(change.key(), value);
        if (read != null) {
            return registry.put(change.key(), read, clock.nowMillis());
        }
        if (value != null) {
            log.line("upstream_entry_ignored").text("key", change.key()).write();
        }
        return registry.remove(change.key(), clock.nowMillis());
    }

    private boolean isServiceKnown(String service) {
        ForwardConfig config = state.config();
        return config != null && config.service(service) != null;
    }

    private void publish() {
        state.replaceInstances(registry.table());
    }

    /** Writes a log line for each change of the list of upstreams. */
    private final class RegistryLog implements InstanceRegistry.Listener {
        @Override
        public void listed(UpstreamInstance instance) {
            log.line("upstream_listed")
                    .text("upstream", instance.id())
                    .text("service", instance.service())
                    .text("failure_domain", instance.failureDomain())
                    .number("heartbeat", instance.heartbeatNumber())
                    .flag("leaving", instance.leaving())
                    .write();
        }

        @Override
        public void leaving(UpstreamInstance instance) {
            log.line("upstream_leaving").text("upstream", instance.id()).write();
        }

        @Override
        public void outdated(UpstreamInstance instance) {
            log.line("upstream_entry_outdated")
                    .text("upstream", instance.id())
                    .number("heartbeat", instance.heartbeatNumber())
                    .flag("leaving", instance.leaving())
                    .write();
        }

        @Override
        public void superseded(UpstreamInstance instance, UpstreamInstance holder) {
            log.line("upstream_superseded")
                    .text("upstream", instance.id())
                    .text("address", instance.address())
                    .text("holder", holder.id())
                    .write();
        }

        @Override
        public void dropped(UpstreamInstance instance, String reason) {
            log.line("upstream_gone")
                    .text("upstream", instance.id())
                    .text("reason", reason)
                    .write();
        }
    }

    /** Decodes the documents in the store; only its implementation knows their keys. */
    public interface StoreDocuments {
        /** Returns the prefix of the keys that operators write. */
        String configPrefix();

        /** Returns the prefixes of what routers write for each other and for operators. */
        List<String> sharedPrefixes();

        /** Returns the prefix under which upstreams are listed. */
        String instancePrefix();

        /** Returns whether a key holds the configuration. */
        boolean isConfig(String key);

        /** Returns whether a key holds an upstream's entry. */
        boolean isInstance(String key);

        /** Decodes a configuration, or returns null if it is malformed. */
        @Nullable
        ForwardConfig readConfig(String value);

        /** Decodes an upstream's entry, or returns null if it describes no usable upstream. */
        @Nullable
        UpstreamInstance readInstance(String key, String value);
    }
}
