package io.laburnummoor.core.version;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Finds routes that no request can match, and names that do not identify a route. */
final class RouteMatchRule implements ConfigRule {
    @Override
    public void check(ForwardDeclarations declarations, Consumer<ConfigFinding> findings) {
        Set<String> names = new HashSet<>();
        Map<String, String> routeByHostAndPrefix = new HashMap<>();
        for (ForwardRoute each : declarations.routes()) {
            String subject = "route " + each.name();
            if (each.name().isBlank()) {
                findings.accept(ConfigFinding.error(
                        "route " + each.host() + each.prefix(), "has no name, so metrics and rollouts cannot tell it"));
            } else if (!names.add(each.name())) {
                findings.accept(ConfigFinding.error(subject, "is declared twice"));
            }
            String first = routeByHostAndPrefix.putIfAbsent(each.host() + " " + each.prefix(), each.name());
            if (first != null) {
                findings.accept(ConfigFinding.warning(
                        subject, "never matches: route " + first + " has the same host and prefix and comes first"));
            }
            checkHost(each, subject, findings);
            checkPrefix(each, subject, findings);
        }
    }

    private static void checkHost(ForwardRoute route, String subject, Consumer<ConfigFinding> findings) {
        if (route.host().matches(".*:[0-9]*")) {
            findings.accept(ConfigFinding.warning(
                    subject, "never matches: requests are compared without a port, the host is " + route.host()));
        } else if (route.host().contains("*")) {
            findings.accept(ConfigFinding.warning(
                    subject, "never matches: hosts are compared as they are, the host is " + route.host()));
        } else if (route.host().isBlank()) {
            findings.accept(ConfigFinding.warning(subject, "matches only requests without a host"));
        }
    }

    private static void checkPrefix(ForwardRoute route, String subject, Consumer<ConfigFinding> findings) {
        String prefix = route.prefix();
        if (prefix.contains("?") || prefix.contains("#") || (!prefix.isEmpty() && !prefix.startsWith("/"))) {
            findings.accept(ConfigFinding.warning(
                    subject, "never matches: a path begins with a slash and has no query, the prefix is " + prefix));
        } else if (!prefix.endsWith("/")) {
            findings.accept(ConfigFinding.warning(
                    subject,
                    "also matches other paths that begin like '" + prefix + "', which does not end with a slash"));
        }
    }
}
