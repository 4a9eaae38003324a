package io.laburnummoor.core.process;

import java.util.List;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.version.ForwardService;

/**
 * Determines what upstreams can still take from the requests of this router, the reports of the other routers and the
 * upstreams' own reports. Reads published state only, so any thread may call it.
 */
public final class CapacityLedger {
    private final PeerLoads peerLoads;

    /** Creates a ledger over the loads that other routers report. */
    public CapacityLedger(PeerLoads peerLoads) {
        this.peerLoads = peerLoads;
    }

    /** Returns what an upstream of a service can still take. */
    public UpstreamCapacity of(InstanceState upstream, ForwardService service, long nowMillis) {
        String id = upstream.instance().id();
        int requests = Math.max(
                upstream.estimatedLoad(nowMillis),
                upstream.inFlightCount() + peerLoads.of(id).inFlight());
        int slots = upstream.instance().slots();
        long kvCacheTokens = upstream.kvCacheTokens() + peerLoads.of(id).kvCacheTokens();
        return new UpstreamCapacity(
                slots == 0 ? Integer.MAX_VALUE : slots - requests,
                service.kvCacheTokens() == 0 ? Long.MAX_VALUE : service.kvCacheTokens() - kvCacheTokens,
                upstream.prefillTokens() + peerLoads.of(id).prefillTokens(),
                upstream.reportedLoadAgeMillis(nowMillis));
    }

    /** Returns whether any of the upstreams that accept requests can take one now, as far as known. */
    public boolean hasRoom(List<InstanceState> upstreams, ForwardService service, long tokens, long nowMillis) {
        for (InstanceState each : upstreams) {
            boolean usable = each.acceptsRequests(nowMillis) && !each.isEjected(nowMillis) && !each.isFull(nowMillis);
            if (usable && of(each, service, nowMillis).fits(tokens)) {
                return true;
            }
        }
        return false;
    }
}
