package io.laburnummoor.core.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.request.Urgency;
import org.jspecify.annotations.Nullable;

/**
 * What the operator declares in one version of the configuration of a gateway, duplicate and unusable entries included.
 * {@link ForwardConfig} is what requests read of it.
 *
 * @param version operator's version number
 * @param organisations organisations, or null if requests need no key
 */
public record ForwardDeclarations(
        long version,
        List<ForwardRoute> routes,
        List<ForwardService> services,
        @Nullable List<ForwardOrganisation> organisations,
        CallerLimits limits) {
    /** Copies the lists. */
    public ForwardDeclarations {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        organisations = organisations == null ? null : List.copyOf(organisations);
    }

    /** Returns the organisations; none if requests need no key. */
    public List<ForwardOrganisation> knownOrganisations() {
        List<ForwardOrganisation> declared = organisations;
        return declared == null ? List.of() : declared;
    }

    /** Returns the configuration for requests; of two entries with one name or key, the later one applies. */
    public ForwardConfig toConfig() {
        Map<String, String> organisationByKey = new HashMap<>();
        Map<String, Urgency> urgencyByOrganisation = new HashMap<>();
        for (ForwardOrganisation each : knownOrganisations()) {
            each.keys().forEach(key -> organisationByKey.put(key, each.name()));
            Urgency urgency = each.urgency();
            if (urgency != null) {
                urgencyByOrganisation.put(each.name(), urgency);
            }
        }
        return new ForwardConfig(
                version,
                routes,
                services,
                organisations == null ? null : organisationByKey,
                urgencyByOrganisation,
                limits);
    }
}
