package io.laburnummoor.core.process;

import io.laburnummoor.core.Snapshot;

/**
 * Moving averages of the work of one service at the usual pace, over all of its upstreams. Learned from this router's
 * own requests, by the event loops concurrently.
 */
final class WorkTimes {
    /** Values until the first measurement: below the speed of current engines, and a usual call. */
    private static final Averages INITIAL = new Averages(5, 4_000, 50, 0);

    private static final double SMOOTHING_FACTOR = 0.1;
    /** Multiple of the mean length of the service's prompts from which a prompt counts as long. */
    private static final double LONG_PROMPT_FACTOR = 1.3;

    /** Shorter prompts are dominated by the duration of one engine step and would distort the rate. */
    static final long MIN_PROMPT_TOKENS = 500;

    private final Snapshot<Averages> averages = new Snapshot<>(INITIAL);

    /** Returns the current averages. */
    Averages get() {
        return averages.get();
    }

    /** Records the length of a prompt. */
    void recordPrompt(long tokens) {
        averages.update(before -> new Averages(
                before.tokensPerMilli,
                before.decodeMillis,
                before.callMillis,
                before.promptTokens == 0 ? tokens : smooth(before.promptTokens, tokens)));
    }

    /** Records the time that an engine at the usual pace took to prefill some tokens. */
    void recordPrefill(long tokens, double millis) {
        if (millis > 0) {
            averages.update(before -> new Averages(
                    smooth(before.tokensPerMilli, tokens / millis),
                    before.decodeMillis,
                    before.callMillis,
                    before.promptTokens));
        }
    }

    /** Records the time from the first event of a stream to its end, at the usual pace. */
    void recordDecode(double millis) {
        averages.update(before -> new Averages(
                before.tokensPerMilli, smooth(before.decodeMillis, millis), before.callMillis, before.promptTokens));
    }

    /** Records the time that a call took without waiting, at the usual pace. */
    void recordCall(double millis) {
        averages.update(before -> new Averages(
                before.tokensPerMilli, before.decodeMillis, smooth(before.callMillis, millis), before.promptTokens));
    }

    private static double smooth(double before, double observed) {
        return before + SMOOTHING_FACTOR * (observed - before);
    }

    /**
     * Averages of one service.
     *
     * @param tokensPerMilli prefill rate of an engine
     * @param decodeMillis time from the first event of a stream to its end
     * @param callMillis duration of a call to a plain service
     * @param promptTokens length of a prompt in tokens; 0 until one was seen
     */
    record Averages(double tokensPerMilli, double decodeMillis, double callMillis, double promptTokens) {
        /** Returns the time in which an engine prefills some tokens. */
        double prefillMillis(long tokens) {
            return tokens / tokensPerMilli;
        }

        /** Returns whether a prompt is long in comparison with the others. */
        boolean isLongPrompt(long tokens) {
            return promptTokens > 0 && tokens > LONG_PROMPT_FACTOR * promptTokens;
        }
    }
}
