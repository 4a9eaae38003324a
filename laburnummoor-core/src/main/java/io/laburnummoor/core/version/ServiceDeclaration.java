package io.laburnummoor.core.version;

import java.util.List;

/**
 * Declaration of a service.
 *
 * @param name name of the service
 * @param kind what its upstreams are
 * @param activeVersion upstream version that serves new requests when no rollout runs, empty for any
 * @param idempotentRoutes paths of a plain service whose calls may be repeated
 */
public record ServiceDeclaration(String name, Kind kind, String activeVersion, List<String> idempotentRoutes) {
    /** What the upstreams of a service are. */
    public enum Kind {
        /** Model engines. */
        ENGINE,
        /** Plain services. */
        PLAIN
    }
}
