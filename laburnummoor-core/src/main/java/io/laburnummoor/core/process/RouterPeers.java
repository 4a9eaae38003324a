package io.laburnummoor.core.process;

import java.util.List;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.connection.RouterPeer;

/** Holds the routers on the VM list; readers take no lock. */
public final class RouterPeers {
    private final Snapshot<List<RouterPeer>> current = new Snapshot<>(List.of());

    /** Returns the known routers, this one among them. */
    public List<RouterPeer> all() {
        return current.get();
    }

    /** Replaces the routers by those of a new VM list. */
    public void replace(List<RouterPeer> routers) {
        current.replace(List.copyOf(routers));
    }
}
