package io.laburnummoor.core.version;

import java.util.List;

import io.laburnummoor.core.request.RetryPolicy;

/**
 * One declared route for requests that are forwarded without being understood.
 *
 * @param name name of the route
 * @param host host name in lower case
 * @param prefix start of the paths; begins and ends with a slash
 * @param repeatRule what may be repeated
 * @param streaming whether the answer is a series of events
 * @param timeoutMillis longest time that a caller may be kept waiting
 * @param responseGoalMillis time within which the answer, or its first event, should arrive
 * @param maxUpstreams greatest number of upstreams that may run one request
 * @param anonymous whether requests need no key
 * @param targets services that take the requests, with their weights
 * @param eventGapTargetMillis longest pause between two events of an answer that is on time; 0 if none is declared
 */
public record ForwardRoute(
        String name,
        String host,
        String prefix,
        RetryPolicy repeatRule,
        boolean streaming,
        long timeoutMillis,
        long responseGoalMillis,
        int maxUpstreams,
        boolean anonymous,
        List<Target> targets,
        long eventGapTargetMillis) {
    /** Copies the targets. */
    public ForwardRoute {
        targets = List.copyOf(targets);
    }

    /**
     * Returns the service for a request.
     *
     * @param draw number from 0 (inclusive) to 1 (exclusive) that picks among the weights
     */
    public String selectService(double draw) {
        double total = 0;
        for (Target each : targets) {
            total += each.weight();
        }
        double remaining = draw * total;
        for (Target each : targets) {
            remaining -= each.weight();
            if (remaining < 0) {
                return each.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }

    /**
     * A service that takes a share of a route's requests.
     *
     * @param service name of the service
     * @param weight share relative to the other weights, 0 for none
     */
    public record Target(String service, double weight) {}
}
