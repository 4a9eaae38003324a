package io.laburnummoor.core.version;

import java.util.function.Consumer;

/** Checks one aspect of a configuration by itself. */
@FunctionalInterface
interface ConfigRule {
    /** Passes each fault of the declarations to the consumer. */
    void check(ForwardDeclarations declarations, Consumer<ConfigFinding> findings);
}
