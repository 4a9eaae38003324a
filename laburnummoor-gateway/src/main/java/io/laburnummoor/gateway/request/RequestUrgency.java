package io.laburnummoor.gateway.request;

import io.laburnummoor.core.request.Urgency;
import io.laburnummoor.core.version.ForwardConfig;
import io.laburnummoor.core.version.ForwardRoute;
import io.laburnummoor.gateway.process.GatewayContext;
import org.jspecify.annotations.Nullable;

/**
 * Urgency of one request, looked up again for each use so that a new configuration applies to running requests.
 *
 * @param route route of the request in the configuration under which it arrived
 * @param service name of the service that receives it
 */
record RequestUrgency(GatewayContext context, ForwardRequest request, ForwardRoute route, String service) {
    /** Returns the urgency by the configuration in force, or null if all requests of the service are equally urgent. */
    @Nullable
    Urgency inForce() {
        ForwardConfig config = context.state().config();
        return config == null ? null : config.statedUrgency(route, service, request.organisation());
    }
}
