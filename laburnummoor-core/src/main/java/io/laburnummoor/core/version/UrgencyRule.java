package io.laburnummoor.core.version;

import java.util.List;
import java.util.function.Consumer;

/** Finds urgencies that have no effect. */
final class UrgencyRule implements ConfigRule {
    @Override
    public void check(ForwardDeclarations declarations, Consumer<ConfigFinding> findings) {
        ForwardConfig config = declarations.toConfig();
        List<ForwardOrganisation> callers = declarations.knownOrganisations().stream()
                .filter(each -> !each.keys().isEmpty())
                .toList();
        boolean allDeclareTheirs = !callers.isEmpty() && callers.stream().allMatch(each -> each.urgency() != null);
        for (ForwardRoute each : declarations.routes()) {
            if (each.urgency() == null) {
                continue;
            }
            if (allDeclareTheirs && !each.anonymous()) {
                findings.accept(ConfigFinding.warning(
                        "route " + each.name(), "its urgency never counts: all organisations have one of their own"));
            } else if (each.receivingServices().stream().noneMatch(config::differentiatesUrgency)) {
                findings.accept(ConfigFinding.warning(
                        "route " + each.name(),
                        "its urgency has no effect: all requests of " + String.join(", ", each.receivingServices())
                                + " are equally urgent"));
            }
        }
    }
}
