package io.laburnummoor.core.process;

import java.util.Map;

import io.laburnummoor.core.version.Comparison;
import io.laburnummoor.core.version.Stratum;
import org.jspecify.annotations.Nullable;

/** Evidence that all routers report about a rollout, and the immediate halt of a rollout on all routers. */
public interface RolloutEvidence {
    /** Returns the evidence that was received since the last call. */
    Map<Stratum, Comparison> drain(String rollout);

    /** Returns why a router has halted the rollout, or null if none has. */
    @Nullable
    String haltReason(String rollout);

    /** Halts the rollout on all reachable routers, without using the store. */
    void haltOnRouters(String rollout, String reason);
}
