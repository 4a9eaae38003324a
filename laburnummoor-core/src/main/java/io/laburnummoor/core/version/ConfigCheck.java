package io.laburnummoor.core.version;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Checks a configuration before the operator sends it to the gateways.
 *
 * <pre>{@code
 * ConfigCheck.findings(proposed, inForce).forEach(System.out::println);
 * }</pre>
 */
public final class ConfigCheck {
    private static final List<ConfigRule> RULES = List.of(
            new RouteMatchRule(), new RouteTargetRule(), new LimitRule(), new OrganisationRule(), new UrgencyRule());

    private ConfigCheck() {}

    /**
     * Returns the faults of a configuration and then its differences from the one in force.
     *
     * @param inForce configuration in force, or null if it is not known
     */
    public static List<ConfigFinding> findings(ForwardDeclarations proposed, @Nullable ForwardDeclarations inForce) {
        List<ConfigFinding> findings = new ArrayList<>();
        RULES.forEach(each -> each.check(proposed, findings::add));
        if (inForce != null) {
            ConfigDifferences.between(inForce, proposed, findings::add);
        }
        return findings;
    }
}
