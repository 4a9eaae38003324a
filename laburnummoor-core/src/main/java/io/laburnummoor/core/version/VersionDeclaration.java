package io.laburnummoor.core.version;

import java.util.List;

/**
 * Declaration of an upstream version.
 *
 * @param service service that it belongs to
 * @param version name of the version
 * @param enforcesFencing whether its upstreams reject a command with a stale fencing token themselves
 * @param checksSender whether its upstreams authenticate the sender of a command
 * @param adapters adapters that it can load
 */
public record VersionDeclaration(
        String service, String version, boolean enforcesFencing, boolean checksSender, List<String> adapters) {}
