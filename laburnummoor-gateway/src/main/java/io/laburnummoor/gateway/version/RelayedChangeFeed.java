package io.laburnummoor.gateway.version;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import io.laburnummoor.core.Clock;
import io.laburnummoor.core.StoreVersion;
import io.laburnummoor.core.process.ChangeFeed;
import io.laburnummoor.core.process.RendezvousHash;
import io.laburnummoor.core.process.StoreReaders;
import io.laburnummoor.core.version.ForwardConfig;
import io.laburnummoor.gateway.process.DecisionLog;
import io.laburnummoor.gateway.process.GatewaySettings;
import io.laburnummoor.gateway.process.GatewayState;
import io.laburnummoor.wire.process.JsonHttp;
import org.jspecify.annotations.Nullable;

/**
 * Reads changes from another router that reads the store, and from the store itself if this router is one of those, or
 * if the other router does not answer, lags behind or lacks the history. After a complete read of a store that was
 * restored from an older copy, other routers are asked for a newer configuration, since this router may have started
 * too late to have read it. Used by the store thread only.
 */
public final class RelayedChangeFeed implements ChangeFeed {
    /** Timeout of the client for other routers; round trips take a few milliseconds. */
    public static final int TIMEOUT_MILLIS = 200;
    /** Age from which the other router's view is not used: its own connection to the store is disturbed. */
    static final long MAX_AGE_MILLIS = 1_500;
    /** Time for which a router that failed is not asked again. */
    private static final long AVOID_MILLIS = 3_000;
    /** Routers asked for one call before the store is read, so that a call takes no longer than usual. */
    private static final int MAX_SOURCES = 2;

    private static final int OK = 200;

    private final ChangeFeed store;
    private final JsonHttp http;
    private final GatewaySettings settings;
    private final GatewayState state;
    private final DecisionLog log;
    private final Clock clock;
    private final Map<String, Long> avoidedUntilMillis = new HashMap<>();
    private Map<String, InetSocketAddress> rankedPeers = Map.of();
    private List<String> sources = List.of();
    private String source = "";
    private boolean configDue;
    private long completeReadMillis;

    /**
     * Creates a feed.
     *
     * @param store feed of the store itself
     * @param http client with a timeout of {@link #TIMEOUT_MILLIS}
     */
    public RelayedChangeFeed(
            ChangeFeed store,
            JsonHttp http,
            GatewaySettings settings,
            GatewayState state,
            DecisionLog log,
            Clock clock) {
        this.store = store;
        this.http = http;
        this.settings = settings;
        this.state = state;
        this.log = log;
        this.clock = clock;
    }

    @Override
    public Batch readAll(String prefix) {
        configDue = true;
        completeReadMillis = clock.nowMillis();
        return store.readAll(prefix);
    }

    @Override
    public @Nullable Batch changesAfter(String prefix, long version, long waitMillis) {
        Map<String, InetSocketAddress> peers = state.peers();
        if (configDue && StoreVersion.eraOf(version) > 0 && !peers.isEmpty()) {
            configDue = false;
            Batch newer = readNewerConfig(peers, version);
            if (newer != null) {
                return newer;
            }
        }
        rankSources(peers);
        long now = clock.nowMillis();
        avoidedUntilMillis.values().removeIf(until -> until <= now);
        int asked = 0;
        for (String each : sources) {
            InetSocketAddress address = peers.get(each);
            if (asked == MAX_SOURCES) {
                break;
            }
            if (address == null || avoidedUntilMillis.containsKey(each)) {
                continue;
            }
            asked++;
            Batch relayed = ask(address, version);
            if (relayed != null) {
                useSource(each);
                return relayed;
            }
            avoidedUntilMillis.put(each, now + AVOID_MILLIS);
        }
        useSource("store");
        return store.changesAfter(prefix, version, waitMillis);
    }

    /** Returns a batch with the configuration of another router if it is newer than the known one, otherwise null. */
    private @Nullable Batch readNewerConfig(Map<String, InetSocketAddress> peers, long version) {
        ForwardConfig known = state.config();
        String target = RelayedChanges.configTargetNewerThan(known == null ? 0 : known.version());
        List<String> ranked = RendezvousHash.rank(settings.name(), peers.keySet(), name -> name);
        for (String each : ranked.subList(0, Math.min(MAX_SOURCES, ranked.size()))) {
            JsonNode answer = exchange(Objects.requireNonNull(peers.get(each)), target);
            Change newer = answer == null ? null : RelayedChanges.decodeEntry(answer, version);
            if (newer != null) {
                log.line("config_read_from").text("source", each).write();
                // The store was last read before this call, so the batch confirms no later moment.
                return new Batch(List.of(newer), version, -Math.max(1, clock.nowMillis() - completeReadMillis));
            }
        }
        return null;
    }

    /** Ranks the sources again when the published list of peers was replaced, which is far rarer than calls are. */
    private void rankSources(Map<String, InetSocketAddress> peers) {
        if (peers != rankedPeers) {
            rankedPeers = peers;
            sources = StoreReaders.sourcesOf(settings.name(), peers.keySet());
        }
    }

    /** Returns the changes that a router knows, or null if it does not answer or cannot be relied on. */
    private @Nullable Batch ask(InetSocketAddress address, long version) {
        JsonNode answer = exchange(address, RelayedChanges.targetAfter(version));
        Batch batch = answer == null ? null : RelayedChanges.decode(answer, StoreVersion.eraOf(version));
        return batch == null || -batch.currentAtOffsetMillis() > MAX_AGE_MILLIS ? null : batch;
    }

    /** Returns the document that a router answers with, or null if it has none or does not answer. */
    private @Nullable JsonNode exchange(InetSocketAddress address, String target) {
        URI uri = URI.create("http://" + address.getHostString() + ":" + settings.metricsPort() + target);
        try {
            JsonHttp.Reply reply = http.exchange("GET", uri, null);
            return reply.status() == OK ? reply.body() : null;
        } catch (IOException unreachable) {
            log.line("relay_unreachable")
                    .text("address", address.toString())
                    .text("error", unreachable.toString())
                    .write();
            return null;
        }
    }

    private void useSource(String next) {
        if (!next.equals(source)) {
            source = next;
            log.line("changes_read_from").text("source", next).write();
        }
    }
}
