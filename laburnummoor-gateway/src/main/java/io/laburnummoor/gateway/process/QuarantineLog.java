package io.laburnummoor.gateway.process;

import io.laburnummoor.core.process.BlockedPromptParts;
import io.laburnummoor.core.process.PromptPartQuarantine;

/** Writes a log line for each change of the blocked prompt parts. */
public final class QuarantineLog implements PromptPartQuarantine.Listener {
    private final DecisionLog log;

    /** Creates a listener that writes to the given log. */
    public QuarantineLog(DecisionLog log) {
        this.log = log;
    }

    @Override
    public void blocked(BlockedPromptParts.Entry parts, long trialDueMillis) {
        log.line("prompt_parts_blocked")
                .text("prompt_parts", String.join(" ", parts.keys()))
                .number("crashes", parts.crashes().size())
                .number("last_crash_at_ms", parts.lastCrashMillis())
                .number("trial_due_at_ms", trialDueMillis)
                .write();
    }

    @Override
    public void released(BlockedPromptParts.Entry parts) {
        log.line("prompt_parts_released")
                .text("prompt_parts", String.join(" ", parts.keys()))
                .number("last_crash_at_ms", parts.lastCrashMillis())
                .write();
    }
}
