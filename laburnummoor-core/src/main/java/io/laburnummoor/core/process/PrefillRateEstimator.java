package io.laburnummoor.core.process;

import io.laburnummoor.core.Snapshot;

/**
 * Estimates the prefill rate of engines from the time to first token of requests that were prefilled alone. Used by a
 * gateway's event loops concurrently.
 */
public final class PrefillRateEstimator {
    /** Below the rate of current engines, so that no attempt is abandoned too early. */
    private static final double INITIAL_TOKENS_PER_MILLI = 5;

    private static final double SMOOTHING_FACTOR = 0.1;
    /** Shorter prompts are dominated by the duration of one engine step and would distort the estimate. */
    private static final long MIN_PROMPT_TOKENS = 500;

    private final Snapshot<Double> tokensPerMilli = new Snapshot<>(INITIAL_TOKENS_PER_MILLI);

    /** Records the time to first token of a prompt that was prefilled without other prompts of this router. */
    public void record(long promptTokens, long millis) {
        if (promptTokens >= MIN_PROMPT_TOKENS && millis > 0) {
            double observed = (double) promptTokens / millis;
            tokensPerMilli.update(before -> before + SMOOTHING_FACTOR * (observed - before));
        }
    }

    /** Returns the expected prefill time of a number of tokens. */
    public long expectedMillis(long tokens) {
        return Math.round(tokens / tokensPerMilli.get());
    }
}
