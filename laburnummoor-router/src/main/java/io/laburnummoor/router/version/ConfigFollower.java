package io.laburnummoor.router.version;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.process.ConfigBootstrap;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.ConfigPeerClient;
import io.laburnummoor.core.process.ConfigPeerSelector;
import io.laburnummoor.core.process.ConfigReplica;
import io.laburnummoor.core.process.ConfigRepository;
import io.laburnummoor.core.process.ConfigRepository.Head;
import io.laburnummoor.core.process.RendezvousHash;
import io.laburnummoor.core.process.RouterPeers;
import io.laburnummoor.core.version.ConfigUpdate;
import io.laburnummoor.wire.process.PeriodicTask;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the configuration of a router up to date. Fetches updates from a peer every second and, if this router is one
 * of the watchers of its failure domain, watches the head in the store.
 */
public final class ConfigFollower implements Service {
    private static final Logger LOGGER = Logger.getLogger(ConfigFollower.class);
    private static final long PULL_INTERVAL_MILLIS = 1_000;
    private static final long RETRY_DELAY_MILLIS = 1_000;
    /** Limits the delay of updates to the failure domain if the store disappears without closing the connection. */
    private static final long WATCH_TIMEOUT_MILLIS = 5_000;
    /** A starting router asks several peers per round, to get answers from two failure domains soon. */
    private static final int BOOTSTRAP_FETCHES = 4;

    private final ConfigRepository repository;
    private final ConfigReplica replica;
    private final ConfigHolder holder;
    private final RouterPeers peers;
    private final ConfigPeerClient client;
    private final ConfigPeerSelector pullSources;
    private final ConfigPeerSelector watchSources;
    private final ConfigBootstrap bootstrap;
    private final PeriodicTask pullTask = new PeriodicTask("config-pull", PULL_INTERVAL_MILLIS, this::pull);
    private final Thread watchThread = new Thread(this::watch, "config-watch");
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile boolean bootstrapped;
    private volatile long watchedRevision;

    /** Creates the follower of one router; it activates new sets in {@code holder}. */
    public ConfigFollower(
            String routerName,
            String failureDomain,
            ConfigRepository repository,
            ConfigReplica replica,
            ConfigHolder holder,
            RouterPeers peers,
            ConfigPeerClient client) {
        this.repository = repository;
        this.replica = replica;
        this.holder = holder;
        this.peers = peers;
        this.client = client;
        SplittableRandom random = new SplittableRandom(RendezvousHash.hash(routerName));
        this.pullSources = new ConfigPeerSelector(routerName, failureDomain, random.split());
        this.watchSources = new ConfigPeerSelector(routerName, failureDomain, random.split());
        this.bootstrap = new ConfigBootstrap(routerName);
        watchThread.setDaemon(true);
    }

    @Override
    public void start() {
        pull();
        pullTask.start();
        watchThread.start();
    }

    @Override
    public void stop() {
        stopped.countDown();
        pullTask.stop();
        watchThread.interrupt();
    }

    private void pull() {
        if (bootstrapped) {
            fetchFrom(pullSources.selectPeer(peers.all()));
            activate();
        } else {
            bootstrapRound();
        }
    }

    private void bootstrapRound() {
        List<RouterPeer> listed = peers.all();
        bootstrap.recordRound();
        bootstrap.recordHeadRevision(watchedRevision);
        for (int i = 0; i < BOOTSTRAP_FETCHES; i++) {
            fetchFrom(pullSources.selectPeer(listed));
        }
        try {
            Head head = repository.head();
            bootstrap.recordHeadRevision(head == null ? 0 : head.delta().revision());
            if (head != null
                    && bootstrap.mustLoadFromStore(
                            pullSources.isWatcher(listed), replica.state().revision())) {
                replica.accept(repository.load(head, replica.state()));
            }
        } catch (LaburnummoorException failure) {
            LOGGER.warnf("configuration cannot be read from the key-value service: %s", failure.getMessage());
        }
        if (bootstrap.mayActivate(replica.state().revision(), listed)) {
            bootstrapped = true;
            activate();
        }
    }

    private void fetchFrom(@Nullable RouterPeer peer) {
        if (peer == null) {
            return;
        }
        try {
            ConfigUpdate update = client.fetchSince(peer, replica.state().revision());
            if (!replica.accept(update)) {
                replica.accept(client.fetchSince(peer, 0));
            }
            if (!bootstrapped) {
                bootstrap.recordPeerRevision(peer, update.revision());
            }
        } catch (LaburnummoorException failure) {
            LOGGER.debugf("configuration cannot be fetched from router %s: %s", peer.name(), failure.getMessage());
        }
    }

    private void watch() {
        long knownVersion = 0;
        while (stopped.getCount() > 0) {
            try {
                if (watchSources.isWatcher(peers.all())) {
                    Head head = repository.watchHead(knownVersion, WATCH_TIMEOUT_MILLIS);
                    knownVersion = head == null ? knownVersion : acceptHead(head);
                    continue;
                }
            } catch (LaburnummoorException failure) {
                LOGGER.warnf("configuration watch failed, current revision stays in force: %s", failure.getMessage());
            }
            waitBeforeRetry();
        }
    }

    private long acceptHead(Head head) {
        if (!replica.accept(head.delta())) {
            replica.accept(repository.load(head, replica.state()));
        }
        watchedRevision = head.delta().revision();
        if (bootstrapped) {
            activate();
        }
        return head.version();
    }

    private void activate() {
        if (holder.accept(replica.state().set())) {
            LOGGER.infof(
                    "configuration revision %d is in force", holder.current().revision());
        }
    }

    private void waitBeforeRetry() {
        try {
            stopped.await(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            stopped.countDown();
        }
    }
}
