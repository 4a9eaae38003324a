package io.laburnummoor.core.process;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.laburnummoor.core.connection.RouterPeer;

/**
 * Decides when a starting router may activate a configuration; the router's configuration follower calls it before
 * each round of requests and after each reply.
 *
 * <p>If the store is available, the router needs the head revision. Otherwise it needs answers from peers in two
 * failure domains and the highest of their revisions, because the peers of one domain may all be partitioned from the
 * others and lag behind. With too few answers the router stays unready and continues with further rounds: the ready
 * routers keep serving, whereas an old configuration on a new router would look like a revert to callers. If the VM
 * list names other routers in only one failure domain, that domain is sufficient.
 *
 * <p>Not thread-safe.
 */
public final class ConfigBootstrap {
    private static final int REQUIRED_DOMAINS = 2;
    /**
     * Rounds after which a router that is not a watcher loads the configuration from the store. Peers usually provide
     * it in the first round, whereas loading from the store costs up to 100 reads per router.
     */
    private static final int ROUNDS_BEFORE_STORE_LOAD = 5;

    private static final long UNKNOWN = -1;

    private final String ownName;
    private final Set<String> answeredDomains = new HashSet<>();
    private long headRevision = UNKNOWN;
    private long highestPeerRevision;
    private int rounds;

    /** Creates the bootstrap state of one router. */
    public ConfigBootstrap(String ownName) {
        this.ownName = ownName;
    }

    /** Records the start of a round of requests to peers. */
    public void recordRound() {
        rounds++;
    }

    /**
     * Returns whether the configuration has to be read from the store because peers did not provide the head revision.
     */
    public boolean mustLoadFromStore(boolean isWatcher, long revision) {
        return headRevision > revision && (isWatcher || rounds >= ROUNDS_BEFORE_STORE_LOAD);
    }

    /** Records the head revision; 0 if there is no configuration yet. */
    public void recordHeadRevision(long revision) {
        headRevision = Math.max(headRevision, revision);
    }

    /** Records the revision in a peer's answer. A peer without a configuration (revision 0) does not count. */
    public void recordPeerRevision(RouterPeer peer, long revision) {
        highestPeerRevision = Math.max(highestPeerRevision, revision);
        if (revision > 0) {
            answeredDomains.add(peer.failureDomain());
        }
    }

    /** Returns whether a configuration of the given revision may be activated. */
    public boolean mayActivate(long revision, List<RouterPeer> listed) {
        if (revision == 0 || revision < highestPeerRevision) {
            return false;
        }
        if (headRevision != UNKNOWN) {
            return revision >= headRevision;
        }
        Set<String> domains = listed.stream()
                .filter(peer -> !peer.name().equals(ownName))
                .map(RouterPeer::failureDomain)
                .collect(Collectors.toSet());
        return !answeredDomains.isEmpty() && answeredDomains.size() >= Math.min(REQUIRED_DOMAINS, domains.size());
    }
}
