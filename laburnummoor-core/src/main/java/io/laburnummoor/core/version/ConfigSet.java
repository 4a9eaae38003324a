package io.laburnummoor.core.version;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * All declarations of one configuration revision; immutable. The corresponding class of the module laburnummoor-gateway
 * is {@link ForwardConfig}.
 */
public final class ConfigSet {
    /** The set that applies before any configuration is loaded. */
    public static final ConfigSet EMPTY = new ConfigSet(0, List.of(), List.of());

    private final long revision;
    private final Map<String, ServiceDeclaration> services;
    private final Map<String, OrganisationDeclaration> organisations;
    private final Map<String, OrganisationDeclaration> organisationsByKey;
    private final List<VersionDeclaration> versions;
    private final List<RolloutDeclaration> rollouts;

    /** Creates a set of declarations without upstream versions and rollouts. */
    public ConfigSet(long revision, List<ServiceDeclaration> services, List<OrganisationDeclaration> organisations) {
        this(revision, services, organisations, List.of(), List.of());
    }

    /** Creates a set of declarations. */
    public ConfigSet(
            long revision,
            List<ServiceDeclaration> services,
            List<OrganisationDeclaration> organisations,
            List<VersionDeclaration> versions,
            List<RolloutDeclaration> rollouts) {
        this.revision = revision;
        this.versions = List.copyOf(versions);
        this.rollouts = List.copyOf(rollouts);
        Map<String, ServiceDeclaration> byName = new LinkedHashMap<>();
        services.forEach(each -> byName.put(each.name(), each));
        Map<String, OrganisationDeclaration> organisationsByName = new LinkedHashMap<>();
        Map<String, OrganisationDeclaration> byKey = new LinkedHashMap<>();
        for (OrganisationDeclaration organisation : organisations) {
            organisationsByName.put(organisation.name(), organisation);
            organisation.keySha256s().forEach(key -> byKey.put(key, organisation));
        }
        this.services = Map.copyOf(byName);
        this.organisations = Map.copyOf(organisationsByName);
        this.organisationsByKey = Map.copyOf(byKey);
    }

    /** Returns the revision; a higher one is newer. */
    public long revision() {
        return revision;
    }

    /** Returns the service with this name, or null. */
    public @Nullable ServiceDeclaration service(String name) {
        return services.get(name);
    }

    /** Returns the organisation with this name, or null. */
    public @Nullable OrganisationDeclaration organisation(String name) {
        return organisations.get(name);
    }

    /** Returns the organisation whose key has this SHA-256 digest, or null. */
    public @Nullable OrganisationDeclaration organisationOfKey(String keySha256) {
        return organisationsByKey.get(keySha256);
    }

    /** Returns all services. */
    public List<ServiceDeclaration> services() {
        return List.copyOf(services.values());
    }

    /** Returns all organisations. */
    public List<OrganisationDeclaration> organisations() {
        return List.copyOf(organisations.values());
    }

    /** Returns all upstream versions. */
    public List<VersionDeclaration> versions() {
        return versions;
    }

    /** Returns the declaration of an upstream version, or null. */
    public @Nullable VersionDeclaration version(String service, String version) {
        return versions.stream()
                .filter(each -> each.service().equals(service) && each.version().equals(version))
                .findFirst()
                .orElse(null);
    }

    /** Returns all rollouts. */
    public List<RolloutDeclaration> rollouts() {
        return rollouts;
    }
}
