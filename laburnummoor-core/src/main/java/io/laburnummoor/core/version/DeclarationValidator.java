package io.laburnummoor.core.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Validates references between declarations. */
public final class DeclarationValidator {
    private DeclarationValidator() {}

    /** Returns all faults in a complete set of declarations. */
    public static List<Fault> check(Collection<ConfigEntry> entries) {
        List<Fault> faults = new ArrayList<>();
        Set<String> keys = entries.stream().map(ConfigEntry::key).collect(Collectors.toSet());
        Map<String, String> ownersOfKeys = new HashMap<>();
        Map<String, String> rolloutsOfServices = new HashMap<>();
        for (ConfigEntry entry : entries) {
            if (entry.declaration() instanceof ServiceDeclaration service) {
                checkService(entry, service, keys, faults);
            } else if (entry.declaration() instanceof VersionDeclaration version) {
                requireService(entry, version.service(), keys, faults);
            } else if (entry.declaration() instanceof RolloutDeclaration rollout) {
                checkRollout(entry, rollout, keys, faults);
                String other = rolloutsOfServices.putIfAbsent(rollout.service(), rollout.name());
                if (other != null) {
                    faults.add(new Fault(
                            entry.key(),
                            "service",
                            "rollout \"" + other + "\" of service \"" + rollout.service() + "\" is already declared"));
                }
            } else if (entry.declaration() instanceof OrganisationDeclaration organisation) {
                checkKeys(entry, organisation, ownersOfKeys, faults);
            }
        }
        return faults;
    }

    private static void checkService(
            ConfigEntry entry, ServiceDeclaration service, Set<String> keys, List<Fault> faults) {
        String prefix = "upstream_version/" + service.name() + "/";
        boolean anyVersionDeclared = keys.stream().anyMatch(key -> key.startsWith(prefix));
        if (anyVersionDeclared
                && !service.activeVersion().isEmpty()
                && !keys.contains(prefix + service.activeVersion())) {
            faults.add(new Fault(
                    entry.key(),
                    "active_version",
                    "version \"" + service.activeVersion() + "\" of the service is not declared"));
        }
    }

    private static void checkRollout(
            ConfigEntry entry, RolloutDeclaration rollout, Set<String> keys, List<Fault> faults) {
        requireService(entry, rollout.service(), keys, faults);
        requireVersion(entry, "from", rollout.service(), rollout.fromVersion(), keys, faults);
        requireVersion(entry, "to", rollout.service(), rollout.toVersion(), keys, faults);
        if (rollout.fromVersion().equals(rollout.toVersion())) {
            faults.add(new Fault(entry.key(), "to", "must differ from \"from\""));
        }
    }

    private static void checkKeys(
            ConfigEntry entry, OrganisationDeclaration organisation, Map<String, String> owners, List<Fault> faults) {
        for (String key : organisation.keySha256s()) {
            String owner = owners.putIfAbsent(key, organisation.name());
            if (owner != null) {
                faults.add(new Fault(
                        entry.key(),
                        "key_sha256s",
                        "key " + key.substring(0, Math.min(8, key.length())) + "… belongs to organisation \"" + owner
                                + "\" too"));
            }
        }
    }

    private static void requireService(ConfigEntry entry, String service, Set<String> keys, List<Fault> faults) {
        if (!keys.contains("service/" + service)) {
            faults.add(new Fault(entry.key(), "service", "service \"" + service + "\" is not declared"));
        }
    }

    private static void requireVersion(
            ConfigEntry entry, String field, String service, String version, Set<String> keys, List<Fault> faults) {
        if (!keys.contains("upstream_version/" + service + "/" + version)) {
            faults.add(new Fault(
                    entry.key(), field, "version \"" + version + "\" of service \"" + service + "\" is not declared"));
        }
    }

    /**
     * A fault in one declaration.
     *
     * @param entryKey key of the entry
     * @param field invalid field
     * @param reason what is wrong
     */
    public record Fault(String entryKey, String field, String reason) {}
}
