package io.laburnummoor.router.version;

import java.util.Map;

import io.laburnummoor.core.process.EvidenceInbox;
import io.laburnummoor.core.process.RolloutEvidence;
import io.laburnummoor.core.process.TrafficShares;
import io.laburnummoor.core.version.Comparison;
import io.laburnummoor.core.version.Stratum;
import io.laburnummoor.router.connection.RolloutPeers;
import org.jspecify.annotations.Nullable;

/** Provides the controller with the evidence reported by routers, and sends its rollout halts to them. */
public final class RouterRolloutEvidence implements RolloutEvidence {
    private final EvidenceInbox inbox;
    private final TrafficShares shares;
    private final RolloutPeers peers;

    /** Creates the evidence source of the controller on this router. */
    public RouterRolloutEvidence(EvidenceInbox inbox, TrafficShares shares, RolloutPeers peers) {
        this.inbox = inbox;
        this.shares = shares;
        this.peers = peers;
    }

    @Override
    public Map<Stratum, Comparison> drain(String rollout) {
        return inbox.drain(rollout);
    }

    @Override
    public @Nullable String haltReason(String rollout) {
        return shares.haltReason(rollout);
    }

    @Override
    public void haltOnRouters(String rollout, String reason) {
        if (shares.halt(rollout, reason)) {
            peers.haltOnRouters(rollout, reason);
        }
    }
}
