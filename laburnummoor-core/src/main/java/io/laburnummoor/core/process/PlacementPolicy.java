package io.laburnummoor.core.process;

import io.laburnummoor.core.connection.InstanceState;

/**
 * Rates the upstreams that a request may be sent to by their load. Failures, failure domains and cached prefixes are
 * rated by {@link InstanceSelector}.
 */
interface PlacementPolicy {
    /** Returns the cost of sending a request to an upstream, in units of one running request; the lowest is best. */
    double cost(InstanceState upstream, InstanceSelector.Criteria criteria, long nowMillis);
}
