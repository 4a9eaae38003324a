package io.laburnummoor.core.process;

/**
 * Size and goal of a request whose upstream is selected.
 *
 * @param promptTokens prompt tokens of a generation; 0 for other requests
 * @param outputTokens maximum output tokens of a generation; 0 for other requests
 * @param goalMillis target time for the answer or its first event, counted from the arrival; 0 if unknown
 * @param elapsedMillis time since the arrival
 * @param draw random number from 0 (inclusive) to 1 (exclusive), drawn anew for each selection
 */
public record RequestWork(long promptTokens, long outputTokens, long goalMillis, long elapsedMillis, double draw) {
    /** Work of a request of which nothing is known. */
    public static final RequestWork UNKNOWN = new RequestWork(0, 0, 0, 0, 0);

    /** Returns the tokens that the request occupies in the KV cache when it ends. */
    public long totalTokens() {
        return promptTokens + outputTokens;
    }
}
