package io.laburnummoor.core.version;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Finds keys that are attributed to the wrong organisation, and routes that no caller may use. */
final class OrganisationRule implements ConfigRule {
    @Override
    public void check(ForwardDeclarations declarations, Consumer<ConfigFinding> findings) {
        Set<String> names = new HashSet<>();
        Map<String, String> nameByKey = new HashMap<>();
        for (ForwardOrganisation each : declarations.knownOrganisations()) {
            String subject = "organisation " + each.name();
            if (each.name().isBlank()) {
                findings.accept(ConfigFinding.error("organisations", "one has no name"));
            } else if (!names.add(each.name())) {
                findings.accept(ConfigFinding.error(subject, "is declared twice"));
            }
            if (each.keys().isEmpty()) {
                findings.accept(ConfigFinding.warning(subject, "never matches: it has no key"));
            }
            for (String key : each.keys()) {
                String other = nameByKey.putIfAbsent(key, each.name());
                if (other != null && !other.equals(each.name())) {
                    findings.accept(ConfigFinding.error(subject, "has a key that also belongs to " + other));
                }
                if (key.isBlank()) {
                    findings.accept(ConfigFinding.error(subject, "has an empty key, which needs no secret"));
                }
            }
        }
        if (declarations.organisations() != null && nameByKey.isEmpty()) {
            declarations.routes().stream()
                    .filter(each -> !each.anonymous())
                    .forEach(each -> findings.accept(ConfigFinding.warning(
                            "route " + each.name(),
                            "refuses all requests: it needs a key, and no organisation has one")));
        }
    }
}
