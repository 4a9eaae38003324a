package io.laburnummoor.core.process;

import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.version.ConfigUpdate;

/** Asks other routers for newer revisions of the configuration. */
public interface ConfigPeerClient {
    /**
     * Asks a router for what follows a revision.
     *
     * @throws io.laburnummoor.core.LaburnummoorException with code {@code peer_unreachable} if it does not answer in
     *     time
     */
    ConfigUpdate fetchSince(RouterPeer peer, long revision);

    /** Closes all connections. */
    void close();
}
