package io.laburnummoor.core.version;

import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

/**
 * Decides whether one router stops sending requests to the new version of a rollout, on that router's own evidence. A
 * halt is final.
 *
 * <p>It depends on no other process, so it also works while the key-value service is unavailable.
 */
public final class RolloutHalt {
    private final VersionEvaluation evaluation;
    private final AtomicReference<@Nullable String> reason = new AtomicReference<>();

    /** Creates a halt that takes effect when the evaluation finds the new version bad. */
    public RolloutHalt(VersionEvaluation evaluation) {
        this.evaluation = evaluation;
    }

    /** Adds this router's evidence of one period; halts the rollout if it shows a bad version. Not thread-safe. */
    public void addEvidence(Map<Stratum, Comparison> period) {
        evaluation.add(period);
        VersionEvaluation.Verdict verdict = evaluation.verdict();
        if (verdict.bad()) {
            halt(verdict.evidence());
        }
    }

    /** Halts the rollout for the given reason; the first reason is kept. */
    public void halt(String haltReason) {
        reason.compareAndSet(null, haltReason);
    }

    /** Returns why the rollout is halted, or null if it is not. */
    public @Nullable String reason() {
        return reason.get();
    }
}
