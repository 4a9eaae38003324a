package io.laburnummoor.router.connection;

import java.util.LinkedHashMap;
import java.util.Map;

import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.process.ConfigPeerClient;
import io.laburnummoor.core.version.ConfigUpdate;
import io.laburnummoor.wire.connection.ThriftConnection;
import io.laburnummoor.wire.generated.ConfigService;
import io.laburnummoor.wire.version.WireConfig;

/** Fetches configuration updates from other routers over Thrift. Not thread-safe. */
public final class ConfigPeers implements ConfigPeerClient {
    private static final int TIMEOUT_MILLIS = 500;
    /** Without a limit, requests to random peers would keep a connection open between every two of 400 routers. */
    private static final int MAX_CONNECTIONS = 8;

    private final LinkedHashMap<RouterPeer, ThriftConnection<ConfigService.Client>> connections =
            new LinkedHashMap<>(MAX_CONNECTIONS * 2, 0.75f, true);

    @Override
    public ConfigUpdate fetchSince(RouterPeer peer, long revision) {
        ThriftConnection<ConfigService.Client> connection = connections.computeIfAbsent(peer, ConfigPeers::connect);
        closeOldest();
        return WireConfig.decode(connection.call(client -> client.since(revision)));
    }

    @Override
    public void close() {
        connections.values().forEach(ThriftConnection::close);
        connections.clear();
    }

    static ThriftConnection<ConfigService.Client> connect(RouterPeer peer) {
        return new ThriftConnection<>(
                peer.host(), peer.peerPort(), TIMEOUT_MILLIS, ConfigHandler.SERVICE_NAME, ConfigService.Client::new);
    }

    private void closeOldest() {
        if (connections.size() > MAX_CONNECTIONS) {
            Map.Entry<RouterPeer, ThriftConnection<ConfigService.Client>> oldest =
                    connections.entrySet().iterator().next();
            oldest.getValue().close();
            connections.remove(oldest.getKey());
        }
    }
}
