package io.laburnummoor.core.process;

import java.util.List;

import io.laburnummoor.core.version.RolloutDeclaration;

/** Source of the rollouts that operators have declared. */
public interface DeclaredRollouts {
    /** Returns the rollouts of the active configuration. */
    List<RolloutDeclaration> current();
}
