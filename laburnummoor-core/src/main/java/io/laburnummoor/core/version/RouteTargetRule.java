package io.laburnummoor.core.version;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** Finds routes to services that do not exist, and services that get no requests. */
final class RouteTargetRule implements ConfigRule {
    @Override
    public void check(ForwardDeclarations declarations, Consumer<ConfigFinding> findings) {
        Set<String> services = new HashSet<>();
        for (ForwardService each : declarations.services()) {
            if (!services.add(each.name())) {
                findings.accept(ConfigFinding.error("service " + each.name(), "is declared twice"));
            }
        }
        for (ForwardRoute each : declarations.routes()) {
            checkTargets(each, services, findings);
        }
        Set<String> receiving = declarations.routes().stream()
                .flatMap(each -> each.receivingServices().stream())
                .collect(Collectors.toSet());
        services.stream()
                .filter(each -> !receiving.contains(each))
                .sorted()
                .forEach(each ->
                        findings.accept(ConfigFinding.warning("service " + each, "gets no requests from any route")));
    }

    private static void checkTargets(ForwardRoute route, Set<String> services, Consumer<ConfigFinding> findings) {
        String subject = "route " + route.name();
        double total = 0;
        for (ForwardRoute.Target each : route.targets()) {
            if (!services.contains(each.service())) {
                findings.accept(
                        ConfigFinding.error(subject, "sends requests to " + each.service() + ", which is no service"));
            }
            if (!(each.weight() >= 0) || Double.isInfinite(each.weight())) {
                findings.accept(ConfigFinding.error(
                        subject,
                        "has the weight " + each.weight() + " for " + each.service() + ", which must be 0 or more"));
            }
            total += each.weight();
        }
        if (total == 0) {
            findings.accept(ConfigFinding.warning(
                    subject, "has only weights of 0, so that all requests go to " + route.selectService(0)));
        }
    }
}
