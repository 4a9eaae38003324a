package io.laburnummoor.core.process;

import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.version.ConfigUpdate;

/** Fetches newer configuration revisions from other routers. */
public interface ConfigPeerClient {
    /**
     * Fetches the update that follows a revision.
     *
     * @throws io.laburnummoor.core.LaburnummoorException with code {@code peer_unreachable} if the peer does not answer
     *     in time
     */
    ConfigUpdate fetchSince(RouterPeer peer, long revision);

    /** Closes all connections. */
    void close();
}
