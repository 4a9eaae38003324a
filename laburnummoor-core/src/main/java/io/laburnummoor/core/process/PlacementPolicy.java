package io.laburnummoor.core.process;

import java.util.function.ToDoubleFunction;

import io.laburnummoor.core.connection.InstanceState;

/**
 * Rates the upstreams that a request may be sent to by their load. Failures and failure domains are rated by
 * {@link InstanceSelector}, in the same unit.
 */
interface PlacementPolicy {
    /**
     * Returns a function for one decision: the cost of sending the request to an upstream, in units of one running
     * request. The lowest one is best. What does not depend on the upstream is computed once.
     */
    ToDoubleFunction<InstanceState> costs(InstanceSelector.Criteria criteria, long nowMillis);

    /** Returns what is added to the cost of an upstream so that routers do not all prefer the same one. */
    double spread(InstanceState upstream, InstanceSelector.Criteria criteria);

    /** Returns the cost of an upstream whose KV cache is too small for the request now. */
    double fullCost();

    /** Returns the part of the cost that the upstream does not have because of cached prompt parts. */
    double cachedPrefixValue(InstanceState upstream, InstanceSelector.Criteria criteria, long nowMillis);

    /**
     * Returns the difference of cost to the best upstream up to which upstreams are chosen at random, in proportion to
     * their advantage; 0 if the best one is always chosen.
     *
     * @param bestCost cost of the best upstream
     */
    double tolerance(double bestCost, InstanceSelector.Criteria criteria);
}
