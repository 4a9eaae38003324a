package io.laburnummoor.core.version;

import java.util.List;

/**
 * Declaration of an upstream version.
 *
 * @param service name of the service that the version belongs to
 * @param version name of the version
 * @param enforcesFencing whether its upstreams reject commands with a stale fencing token
 * @param checksSender whether its upstreams authenticate the senders of commands
 * @param adapters adapters that the version can serve
 */
public record VersionDeclaration(
        String service, String version, boolean enforcesFencing, boolean checksSender, List<String> adapters) {}
