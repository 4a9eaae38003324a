package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import io.laburnummoor.core.connection.RouterPeer;
import org.jspecify.annotations.Nullable;

/** Selects the routers that watch the store and the peer that a router asks for newer revisions. */
public final class ConfigPeerSelector {
    /** Two per failure domain, so that the loss of one does not delay the domain. */
    private static final int WATCHERS_PER_DOMAIN = 2;
    /** On average one of four requests goes to any peer, so that a domain whose watchers are stuck still catches up. */
    private static final int ANY_PEER_INTERVAL = 4;

    private final String ownName;
    private final String ownDomain;
    private final RandomGenerator random;

    /** Creates the selector of one router. */
    public ConfigPeerSelector(String ownName, String ownDomain, RandomGenerator random) {
        this.ownName = ownName;
        this.ownDomain = ownDomain;
        this.random = random;
    }

    /** Returns whether this router watches the store. A router counts itself even if it is not listed. */
    public boolean isWatcher(List<RouterPeer> listed) {
        List<String> names = new ArrayList<>(namesIn(ownDomain, listed));
        if (!names.contains(ownName)) {
            names.add(ownName);
        }
        return watchers(ownDomain, names).contains(ownName);
    }

    /**
     * Returns the router to ask next, or null if there is no other.
     *
     * <p>A router that is not a watcher asks a watcher of its failure domain, and sometimes any router; a watcher asks
     * any router, which covers the case that only its own connection to the store is broken.
     */
    public @Nullable RouterPeer selectPeer(List<RouterPeer> listed) {
        List<RouterPeer> others =
                listed.stream().filter(peer -> !peer.name().equals(ownName)).toList();
        if (others.isEmpty()) {
            return null;
        }
        List<String> watchers = watchers(ownDomain, namesIn(ownDomain, listed));
        List<RouterPeer> watcherPeers =
                others.stream().filter(peer -> watchers.contains(peer.name())).toList();
        boolean asksWatcher = !isWatcher(listed) && !watcherPeers.isEmpty() && random.nextInt(ANY_PEER_INTERVAL) > 0;
        List<RouterPeer> candidates = asksWatcher ? watcherPeers : others;
        return candidates.get(random.nextInt(candidates.size()));
    }

    private static List<String> namesIn(String domain, List<RouterPeer> listed) {
        return listed.stream()
                .filter(peer -> peer.failureDomain().equals(domain))
                .map(RouterPeer::name)
                .toList();
    }

    private static List<String> watchers(String domain, List<String> names) {
        return RendezvousHash.top("config-watch/" + domain, names, WATCHERS_PER_DOMAIN);
    }
}
