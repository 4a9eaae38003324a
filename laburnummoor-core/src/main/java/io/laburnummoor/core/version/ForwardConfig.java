package io.laburnummoor.core.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.laburnummoor.core.request.Urgency;
import org.jspecify.annotations.Nullable;

/**
 * One version of the configuration of a gateway; immutable, so that requests read it without a lock. The corresponding
 * class of the module laburnummoor-router is {@link ConfigSet}.
 *
 * <pre>{@code
 * ForwardRoute route = config.findRoute("desk.example", "/waivers/17");
 * String organisation = config.organisationOf(key);
 * }</pre>
 */
public final class ForwardConfig {
    private final long version;
    private final Map<String, List<ForwardRoute>> routesByHost;
    private final Map<String, ForwardService> services;
    private final Map<String, String> organisationByKey;
    private final boolean keysRequired;
    private final CallerLimits limits;
    private final Map<String, ForwardRoute> routesByName;
    private final Map<String, Urgency> urgencyByOrganisation;
    private final Set<String> servicesWithUrgencies;

    /**
     * Creates a configuration.
     *
     * @param organisationByKey names of organisations by their keys, or null if requests need no key
     * @param urgencyByOrganisation urgency of the organisations for which one is declared; goes before that of a route
     */
    public ForwardConfig(
            long version,
            List<ForwardRoute> routes,
            List<ForwardService> services,
            @Nullable Map<String, String> organisationByKey,
            Map<String, Urgency> urgencyByOrganisation,
            CallerLimits limits) {
        this.version = version;
        this.routesByHost = new HashMap<>();
        for (ForwardRoute each : routes) {
            routesByHost.computeIfAbsent(each.host(), host -> new ArrayList<>()).add(each);
        }
        Comparator<ForwardRoute> longestFirst = Comparator.comparingInt(
                        (ForwardRoute route) -> route.prefix().length())
                .reversed();
        routesByHost.values().forEach(each -> each.sort(longestFirst));
        this.services = new HashMap<>();
        services.forEach(each -> this.services.put(each.name(), each));
        this.organisationByKey = organisationByKey == null ? Map.of() : Map.copyOf(organisationByKey);
        this.keysRequired = organisationByKey != null;
        this.limits = limits;
        this.routesByName = findRoutesByUniqueName(routes);
        this.urgencyByOrganisation = Map.copyOf(urgencyByOrganisation);
        this.servicesWithUrgencies = findServicesWithUrgencies(routes);
    }

    /** Leaves out routes that share a name, which does not tell them apart. */
    private static Map<String, ForwardRoute> findRoutesByUniqueName(List<ForwardRoute> routes) {
        Map<String, List<ForwardRoute>> routesByName =
                routes.stream().collect(Collectors.groupingBy(ForwardRoute::name));
        return routesByName.values().stream()
                .filter(each -> each.size() == 1)
                .map(each -> each.get(0))
                .collect(Collectors.toMap(ForwardRoute::name, Function.identity()));
    }

    private Set<String> findServicesWithUrgencies(List<ForwardRoute> routes) {
        Map<String, Set<Urgency>> urgenciesByService = new HashMap<>();
        Set<String> organisations = new HashSet<>(organisationByKey.values());
        for (ForwardRoute route : routes) {
            Set<Urgency> urgencies = new HashSet<>();
            organisations.forEach(each -> urgencies.add(urgencyOf(route, each)));
            if (organisations.isEmpty() || route.anonymous()) {
                urgencies.add(urgencyOf(route, null));
            }
            route.receivingServices().forEach(service -> urgenciesByService
                    .computeIfAbsent(service, added -> new HashSet<>())
                    .addAll(urgencies));
        }
        return urgenciesByService.entrySet().stream()
                .filter(each -> each.getValue().size() > 1)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the urgency of a request by this configuration.
     *
     * @param route route of the request in this version or in an earlier one, which counts if this one has it no more
     * @param organisation organisation of the caller, or null
     */
    public Urgency urgencyOf(ForwardRoute route, @Nullable String organisation) {
        Urgency declared = organisation == null ? null : urgencyByOrganisation.get(organisation);
        if (declared == null) {
            declared = routesByName.getOrDefault(route.name(), route).urgency();
        }
        return declared == null ? Urgency.DEFAULT : declared;
    }

    /** Returns whether requests of a service may differ in urgency. */
    public boolean differentiatesUrgency(String service) {
        return servicesWithUrgencies.contains(service);
    }

    /**
     * Returns the urgency that an attempt states to its upstream, or null if all requests of the service are equally
     * urgent.
     *
     * @param route as for {@link #urgencyOf}
     */
    public @Nullable Urgency statedUrgency(ForwardRoute route, String service, @Nullable String organisation) {
        return differentiatesUrgency(service) ? urgencyOf(route, organisation) : null;
    }

    /** Returns the operator's version number. */
    public long version() {
        return version;
    }

    /** Returns the route with the longest prefix that matches the path, or null. */
    public @Nullable ForwardRoute findRoute(String host, String path) {
        for (ForwardRoute each : routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
            if (path.startsWith(each.prefix())) {
                return each;
            }
        }
        return null;
    }

    /** Returns the declaration of a service, or null. */
    public @Nullable ForwardService service(String name) {
        return services.get(name);
    }

    /** Returns the names of all routes. */
    public Set<String> routeNames() {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .map(ForwardRoute::name)
                .collect(Collectors.toSet());
    }

    /** Returns the names of all services. */
    public Set<String> serviceNames() {
        return Set.copyOf(services.keySet());
    }

    /** Returns the organisation that a key belongs to, or null. */
    public @Nullable String organisationOf(String key) {
        return organisationByKey.get(key);
    }

    /** Returns whether requests on routes that are not anonymous need a key. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns the limits on callers. */
    public CallerLimits limits() {
        return limits;
    }
}
