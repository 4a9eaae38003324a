package io.laburnummoor.core.process;

import io.laburnummoor.core.Snapshot;

/** The speed at which engines read prompts, learnt from the time to the first event of requests that ran alone. */
public final class PrefillRateEstimator {
    /** Starting value, below what current engines do, so that no engine is given up too early. */
    private static final double INITIAL_TOKENS_PER_MILLI = 5;

    private static final double SMOOTHING_FACTOR = 0.1;
    /** Shorter prompts are dominated by the time of a step and say little. */
    private static final long MIN_PROMPT_TOKENS = 500;

    private final Snapshot<Double> tokensPerMilli = new Snapshot<>(INITIAL_TOKENS_PER_MILLI);

    /** Records a prompt that was read without this router's other prompts beside it. */
    public void record(long promptTokens, long millis) {
        if (promptTokens >= MIN_PROMPT_TOKENS && millis > 0) {
            double observed = (double) promptTokens / millis;
            tokensPerMilli.update(before -> before + SMOOTHING_FACTOR * (observed - before));
        }
    }

    /** Returns the expected time to read a number of tokens. */
    public long expectedMillis(long tokens) {
        return Math.round(tokens / tokensPerMilli.get());
    }
}
