package io.laburnummoor.bench.process;

import java.net.URI;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.laburnummoor.core.process.ConfigPublisher;
import io.laburnummoor.core.process.ConfigRepository;
import io.laburnummoor.core.process.RouterPeers;
import io.laburnummoor.core.version.ConfigEntry;
import io.laburnummoor.core.version.ConfigState;
import io.laburnummoor.wire.process.EtcdKeyValueStore;
import io.laburnummoor.wire.process.JsonHttp;
import io.laburnummoor.wire.version.ConfigCodec;

/** Many nodes that spread the configuration, and a platform. */
final class ConfigFleet implements AutoCloseable {
    private static final int PLATFORM_TIMEOUT_MILLIS = 2_000;
    private static final long POLL_MILLIS = 5;

    private final PlatformStandIn platform = new PlatformStandIn("127.0.0.1", 0);
    private final RouterPeers peers = new RouterPeers();
    private final List<ConfigNode> nodes = new ArrayList<>();
    private final JsonHttp http = new JsonHttp(PLATFORM_TIMEOUT_MILLIS);

    ConfigFleet(int nodeCount, int domainCount) {
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new ConfigNode("router-" + i, "domain-" + i % domainCount, address(), peers));
        }
        peers.replace(nodes.stream().map(ConfigNode::peer).toList());
    }

    void start() {
        platform.start();
        nodes.forEach(ConfigNode::start);
    }

    PlatformStandIn platform() {
        return platform;
    }

    List<ConfigNode> nodes() {
        return nodes;
    }

    ConfigRepository repository() {
        return new ConfigRepository(new EtcdKeyValueStore(http, address()), new ConfigCodec());
    }

    ConfigPublisher publisher() {
        return new ConfigPublisher(repository(), () -> {});
    }

    /** Returns the time until a revision is in force on every node, or -1 if it is not in time. */
    long awaitMillis(long revision, long timeoutMillis) throws InterruptedException {
        long startNanos = System.nanoTime();
        while (true) {
            long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
            if (nodes.stream().allMatch(node -> node.revision() >= revision)) {
                return elapsedMillis;
            }
            if (elapsedMillis > timeoutMillis) {
                return -1;
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Returns the entry of an organisation with the given limit. */
    static ConfigEntry organisation(String name, int maxConcurrent) {
        String text =
                "{\"schema_version\":2,\"name\":\"" + name + "\",\"key_sha256s\":[],\"limits\":{\"max_concurrent\":"
                        + maxConcurrent + ",\"tokens_per_second\":1000}}";
        return new ConfigCodec().decodeEntry("organisation/" + name, text);
    }

    /** Returns the entries of a state with one of them replaced. */
    static Collection<ConfigEntry> with(ConfigState state, ConfigEntry entry) {
        Map<String, ConfigEntry> entries = new TreeMap<>(state.entries());
        entries.put(entry.key(), entry);
        return entries.values();
    }

    @Override
    public void close() {
        nodes.forEach(ConfigNode::stop);
        platform.stop();
        http.stop();
    }

    private URI address() {
        return URI.create("http://127.0.0.1:" + platform.port());
    }
}
