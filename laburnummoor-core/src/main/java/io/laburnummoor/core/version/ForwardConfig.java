package io.laburnummoor.core.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

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

    /**
     * Creates a configuration.
     *
     * @param organisationByKey names of organisations by their keys, or null if requests need no key
     */
    public ForwardConfig(
            long version,
            List<ForwardRoute> routes,
            List<ForwardService> services,
            @Nullable Map<String, String> organisationByKey,
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
