package io.laburnummoor.core.process;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.laburnummoor.core.connection.RouterPeer;

/**
 * Decides when a starting router may put a configuration in force.
 *
 * <p>If the key-value service answers, the router needs the revision of the head. If not, it needs answers from peers
 * in two failure domains and the highest of their revisions, because the peers of one domain may all be cut off from
 * the others and lag behind. With too few answers the router stays unready and goes on asking: the ready routers keep
 * the deployment in service, whereas an old configuration on a new router would look like a revert to callers. If the
 * VM list names other routers in one failure domain only, that domain is enough.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class ConfigBootstrap {
    private static final int REQUIRED_DOMAINS = 2;
    /** Peers usually answer in the first round; reading the whole history costs up to 100 reads per router. */
    private static final int ROUNDS_BEFORE_STORE_LOAD = 5;

    private static final long UNKNOWN = -1;

    private final String ownName;
    private final Set<String> answeredDomains = new HashSet<>();
    private long headRevision = UNKNOWN;
    private long highestPeerRevision;
    private int rounds;

    /** Creates the decision of one router. */
    public ConfigBootstrap(String ownName) {
        this.ownName = ownName;
    }

    /** Records the start of a round of questions. */
    public void recordRound() {
        rounds++;
    }

    /** Returns whether the key-value service is to be read because the peers do not have the head's revision. */
    public boolean mustLoadFromStore(boolean isWatcher, long revision) {
        return headRevision > revision && (isWatcher || rounds >= ROUNDS_BEFORE_STORE_LOAD);
    }

    /** Records the revision of the head; 0 if there is no configuration yet. */
    public void recordHeadRevision(long revision) {
        headRevision = Math.max(headRevision, revision);
    }

    /** Records the answer of a peer. A peer that has no configuration itself proves nothing. */
    public void recordPeerRevision(RouterPeer peer, long revision) {
        highestPeerRevision = Math.max(highestPeerRevision, revision);
        if (revision > 0) {
            answeredDomains.add(peer.failureDomain());
        }
    }

    /** Returns whether a set of the given revision may be put in force. */
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
