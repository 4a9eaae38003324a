package io.laburnummoor.bench.process;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.laburnummoor.core.Service;
import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.ConfigPeerClient;
import io.laburnummoor.core.process.ConfigReplica;
import io.laburnummoor.core.process.ConfigRepository;
import io.laburnummoor.core.process.RouterPeers;
import io.laburnummoor.core.version.ConfigUpdate;
import io.laburnummoor.router.connection.ConfigHandler;
import io.laburnummoor.router.connection.ConfigPeers;
import io.laburnummoor.router.version.ConfigFollower;
import io.laburnummoor.wire.generated.ConfigService;
import io.laburnummoor.wire.process.EtcdKeyValueStore;
import io.laburnummoor.wire.process.JsonHttp;
import io.laburnummoor.wire.process.LoopbackPorts;
import io.laburnummoor.wire.process.ThriftServer;
import io.laburnummoor.wire.version.ConfigCodec;
import io.laburnummoor.wire.version.WireConfig;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** The part of a router that spreads the configuration, with real sockets. */
final class ConfigNode implements Service {
    private static final String HOST = "127.0.0.1";
    private static final int PLATFORM_TIMEOUT_MILLIS = 2_000;
    private static final int WORKER_THREADS = 2;
    /** Frame length, message header, service and method name of a question and its answer. */
    private static final int CALL_OVERHEAD_BYTES = 64;

    /** Bytes of the answers by the router that gave them, over all nodes of the process. */
    private static final Map<RouterPeer, AtomicLong> ANSWERED_BYTES = new ConcurrentHashMap<>();

    private final RouterPeer peer;
    private final ConfigReplica replica = new ConfigReplica();
    private final ConfigHolder holder = new ConfigHolder();
    private final JsonHttp http = new JsonHttp(PLATFORM_TIMEOUT_MILLIS);
    private final CountingClient client = new CountingClient();
    private final ThriftServer server;
    private final ConfigFollower follower;

    ConfigNode(String name, String domain, URI keyValueAddress, RouterPeers peers) {
        this.peer = new RouterPeer(name, domain, HOST, LoopbackPorts.next());
        ConfigHandler handler = new ConfigHandler(name, domain, replica, holder);
        this.server = new ThriftServer(
                HOST,
                peer.peerPort(),
                WORKER_THREADS,
                Map.of(ConfigHandler.SERVICE_NAME, new ConfigService.Processor<>(handler)));
        this.follower = new ConfigFollower(
                name,
                domain,
                new ConfigRepository(new EtcdKeyValueStore(http, keyValueAddress), new ConfigCodec()),
                replica,
                holder,
                peers,
                client);
    }

    RouterPeer peer() {
        return peer;
    }

    /** Returns the revision in force, 0 if none. */
    long revision() {
        return holder.current().revision();
    }

    ConfigReplica replica() {
        return replica;
    }

    /** Returns the bytes of questions and answers that this node asked or answered, without TCP and IP headers. */
    long exchangedBytes() {
        AtomicLong answered = ANSWERED_BYTES.get(peer);
        return client.bytes.get() + (answered == null ? 0 : answered.get());
    }

    @Override
    public void start() {
        server.start();
        follower.start();
    }

    @Override
    public void stop() {
        follower.stop();
        server.stop();
        client.close();
        http.stop();
    }

    /** Adds up the sizes of questions and answers on top of the product's client. */
    private static final class CountingClient implements ConfigPeerClient {
        private final ConfigPeerClient delegate = new ConfigPeers();
        private final AtomicLong bytes = new AtomicLong();
        private final Map<RouterPeer, AtomicLong> answeredBytes = ANSWERED_BYTES;

        @Override
        public ConfigUpdate fetchSince(RouterPeer peer, long revision) {
            ConfigUpdate update = delegate.fetchSince(peer, revision);
            try {
                int size = CALL_OVERHEAD_BYTES
                        + new TSerializer(new TCompactProtocol.Factory()).serialize(WireConfig.encode(update)).length;
                bytes.addAndGet(size);
                answeredBytes.computeIfAbsent(peer, added -> new AtomicLong()).addAndGet(size);
            } catch (TException cause) {
                throw new IllegalStateException(cause);
            }
            return update;
        }

        @Override
        public void close() {
            delegate.close();
        }
    }
}
