package io.laburnummoor.core.process;

import java.util.List;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.version.ForwardService;

/**
 * Determines what upstreams can still take from the requests of this router, the reports of the other routers and the
 * upstreams' own reports. Answers callers that compete for insufficient capacity: a router must know about the requests
 * of all routers before it sends another one. Reads published state only, so any thread may call it.
 */
public final class CapacityLedger {
    /**
     * Time constant with which reported calls of a plain service count as ended, as with a reported pace: a call takes
     * some ten milliseconds, so that a report of a second ago would show a queue that is long gone.
     */
    private static final double CALL_RESIDENCE_MILLIS = 250;

    private final PeerLoads peerLoads;

    /** Creates a ledger over the loads that other routers report. */
    public CapacityLedger(PeerLoads peerLoads) {
        this.peerLoads = peerLoads;
    }

    /** Returns what an upstream of a service can still take. */
    public UpstreamCapacity of(InstanceState upstream, ForwardService service, long nowMillis) {
        UpstreamLoad peers = peerLoads.of(upstream.instance().id());
        UpstreamLoad total = upstream.ownLoad().plus(peers);
        int reported = service.isEngine()
                ? upstream.estimatedLoad(nowMillis)
                : (int) Math.round(upstream.estimatedLoad(nowMillis, CALL_RESIDENCE_MILLIS));
        int requests = Math.max(reported, total.inFlight());
        int slots = upstream.slots();
        return new UpstreamCapacity(
                slots == 0 ? Integer.MAX_VALUE : slots - requests,
                service.kvCacheTokens() == 0 ? Long.MAX_VALUE : service.kvCacheTokens() - total.kvCacheTokens(),
                total.prefillTokens(),
                ageMillis(upstream, peers, nowMillis));
    }

    /** Returns the age of the oldest information in use. */
    private long ageMillis(InstanceState upstream, UpstreamLoad peers, long nowMillis) {
        long reportAge = upstream.reportedLoadAgeMillis(nowMillis);
        boolean usesPeers = !peers.equals(UpstreamLoad.NONE);
        return usesPeers ? Math.max(reportAge, peerLoads.oldestReportAgeMillis(nowMillis)) : reportAge;
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
