package io.laburnummoor.core.version;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.laburnummoor.core.request.RetryPolicy;
import io.laburnummoor.core.request.Urgency;
import org.jspecify.annotations.Nullable;

/**
 * One declared route for requests that are forwarded without interpreting their bodies.
 *
 * @param name name of the route
 * @param host host name in lower case
 * @param prefix path prefix; begins and ends with a slash
 * @param retryPolicy which requests may be sent again after a failure
 * @param streaming whether the answer is a stream of events
 * @param timeoutMillis maximum time that a caller waits
 * @param responseGoalMillis target time for the answer or its first event
 * @param maxUpstreams maximum number of upstreams that may run one request
 * @param anonymous whether requests are accepted without a key
 * @param targets services that receive the requests, with their weights
 * @param eventGapTargetMillis target for the longest pause between two events of an answer; 0 if none is declared
 * @param urgency urgency of the requests, or null if none is declared
 */
public record ForwardRoute(
        String name,
        String host,
        String prefix,
        RetryPolicy retryPolicy,
        boolean streaming,
        long timeoutMillis,
        long responseGoalMillis,
        int maxUpstreams,
        boolean anonymous,
        List<Target> targets,
        long eventGapTargetMillis,
        @Nullable Urgency urgency) {
    /** Copies the targets. */
    public ForwardRoute {
        targets = List.copyOf(targets);
    }

    /**
     * Selects the service for a request by the weights of the targets.
     *
     * @param draw random number from 0 (inclusive) to 1 (exclusive)
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

    /** Returns the services that {@link #selectService} may return. */
    public Set<String> receivingServices() {
        Set<String> weighted = targets.stream()
                .filter(each -> each.weight() > 0)
                .map(Target::service)
                .collect(Collectors.toSet());
        return weighted.isEmpty() && !targets.isEmpty() ? Set.of(selectService(0)) : weighted;
    }

    /**
     * A service that receives a share of a route's requests.
     *
     * @param service name of the service
     * @param weight share relative to the other weights, 0 for none
     */
    public record Target(String service, double weight) {}
}
