package io.laburnummoor.core.process;

import java.util.function.ToDoubleFunction;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.version.ForwardService;

/**
 * Rates upstreams by the number of requests and the tokens to prefill. For services whose upstreams do not report their
 * pace.
 */
final class RequestCountPolicy implements PlacementPolicy {
    /** Tokens to prefill that weigh as much as one running request: they delay all generations of the engine. */
    static final double PREFILL_TOKENS_PER_REQUEST = 2_000;

    /**
     * Weight of a full engine in a selection after a loss; it grows with the square of the occupancy, so that engines
     * with few generations count as equal and simultaneous selections of several routers spread over them.
     */
    private static final double OCCUPANCY_WEIGHT = 8;

    private static final double FULL_PENALTY = 50;
    /** Spreads the selections of routers that do not see each other's requests over different upstreams. */
    private static final double ROUTER_SPREAD = 0.9;
    /**
     * Temperature of the spread after a loss: a router prefers an engine to another one with a probability that falls
     * by a factor of e for each such difference of their loads. Small beside the weight of a prompt to prefill.
     */
    private static final double WIDE_SPREAD = 0.4;

    private final long routerHash;
    private final PeerLoads peerLoads;

    RequestCountPolicy(String routerName, PeerLoads peerLoads) {
        this.routerHash = RendezvousHash.hash(routerName);
        this.peerLoads = peerLoads;
    }

    @Override
    public ToDoubleFunction<InstanceState> costs(InstanceSelector.Criteria criteria, long nowMillis) {
        boolean spreadWidely = isSpreadWidely(criteria);
        return upstream -> cost(upstream, criteria.service(), spreadWidely, nowMillis);
    }

    private double cost(InstanceState upstream, ForwardService service, boolean spreadWidely, long nowMillis) {
        UpstreamLoad total = peerLoads.totalOf(upstream);
        int requests = Math.max(upstream.estimatedLoad(nowMillis), total.inFlight());
        double cost = spreadWidely ? occupancyLoad(upstream, requests, total, service) : requests;
        return cost + (service.isEngine() ? total.prefillTokens() / PREFILL_TOKENS_PER_REQUEST : 0);
    }

    @Override
    public double spread(InstanceState upstream, InstanceSelector.Criteria criteria) {
        double rank = RendezvousHash.toUnitInterval(RendezvousHash.weight(routerHash, upstream.idHash()));
        return isSpreadWidely(criteria) ? wideSpread(rank) : ROUTER_SPREAD * rank;
    }

    @Override
    public double fullCost() {
        return FULL_PENALTY;
    }

    @Override
    public double cachedPrefixValue(InstanceState upstream, InstanceSelector.Criteria criteria, long nowMillis) {
        return upstream.cachedPrefixTokens(criteria.prompt(), nowMillis) / PREFILL_TOKENS_PER_REQUEST;
    }

    @Override
    public double tolerance(double bestCost, InstanceSelector.Criteria criteria) {
        return 0;
    }

    private static boolean isSpreadWidely(InstanceSelector.Criteria criteria) {
        return criteria.afterLoss() && criteria.service().isEngine();
    }

    /**
     * Returns the spread after a loss by the rank of an engine for this router. The Gumbel distribution keeps the
     * selections of many routers proportional to the engines' weights, whereas evenly distributed ranks would leave
     * only the few engines with the very lowest load.
     */
    private static double wideSpread(double rank) {
        double positive = Math.max(rank, Double.MIN_NORMAL);
        return WIDE_SPREAD * Math.log(-Math.log(positive));
    }

    private static double occupancyLoad(
            InstanceState upstream, int requests, UpstreamLoad total, ForwardService service) {
        double occupancy = (double) requests / Math.max(1, upstream.instance().slots());
        if (service.kvCacheTokens() > 0) {
            occupancy = Math.max(occupancy, (double) total.kvCacheTokens() / service.kvCacheTokens());
        }
        return OCCUPANCY_WEIGHT * occupancy * occupancy;
    }
}
