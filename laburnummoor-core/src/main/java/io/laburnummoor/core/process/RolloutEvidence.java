package io.laburnummoor.core.process;

import java.util.Map;

import io.laburnummoor.core.version.Comparison;
import io.laburnummoor.core.version.Stratum;
import org.jspecify.annotations.Nullable;

/** What the controller learns from all routers about a rollout, and how it stops one on the spot. */
public interface RolloutEvidence {
    /** Returns the evidence that has arrived since the last call. */
    Map<Stratum, Comparison> drain(String rollout);

    /** Returns why a router has applied its brake, or null if none has. */
    @Nullable
    String haltReason(String rollout);

    /** Applies the brake on all routers that can be reached, without the key-value service. */
    void haltOnRouters(String rollout, String reason);
}
