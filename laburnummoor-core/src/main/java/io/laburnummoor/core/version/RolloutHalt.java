package io.laburnummoor.core.version;

import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

/**
 * Stops the new version on one router on that router's own evidence. Once applied it is never released.
 *
 * <p>It needs no other process, so it also works while the key-value service is down.
 */
public final class RolloutHalt {
    private final VersionEvaluation evaluation;
    private final AtomicReference<@Nullable String> reason = new AtomicReference<>();

    /** Creates a brake that is applied when the evaluation shows the new version to be bad. */
    public RolloutHalt(VersionEvaluation evaluation) {
        this.evaluation = evaluation;
    }

    /** Adds this router's evidence of one period; called by one thread. */
    public void addEvidence(Map<Stratum, Comparison> period) {
        evaluation.add(period);
        VersionEvaluation.Verdict verdict = evaluation.verdict();
        if (verdict.bad()) {
            halt(verdict.evidence());
        }
    }

    /** Applies the brake for a reason from elsewhere. */
    public void halt(String haltReason) {
        reason.compareAndSet(null, haltReason);
    }

    /** Returns why the brake is applied, or null if it is not. */
    public @Nullable String reason() {
        return reason.get();
    }
}
