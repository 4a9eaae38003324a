package io.laburnummoor.core.version;

import java.util.List;

/**
 * Declaration of a service.
 *
 * @param name name of the service
 * @param kind kind of its upstreams
 * @param activeVersion upstream version that serves new requests while no rollout is running; empty for any version
 * @param idempotentRoutes paths of a plain service whose calls are idempotent, see {@link IdempotencyClassifier}
 */
public record ServiceDeclaration(String name, Kind kind, String activeVersion, List<String> idempotentRoutes) {
    /** Kind of the upstreams of a service. */
    public enum Kind {
        /** Model engines. */
        ENGINE,
        /** Plain services. */
        PLAIN
    }
}
