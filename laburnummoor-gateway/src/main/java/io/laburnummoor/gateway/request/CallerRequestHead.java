package io.laburnummoor.gateway.request;

import java.util.List;

import io.laburnummoor.core.request.PromptPart;
import org.jspecify.annotations.Nullable;

/**
 * Decoded head of a caller's request.
 *
 * @param attemptId id of this attempt of the caller, or null if it sent none or more than one
 * @param timeoutMillis time that the caller waits, counted from the arrival of the request; 0 if not stated
 * @param apiKey API key of the caller's organisation, or null
 * @param promptTokens prompt tokens of a generation; 0 for other requests
 * @param outputTokens maximum number of tokens to generate; 0 for other requests
 * @param lastEventId id of the last event that the caller has received; 0 for a new stream
 * @param promptParts prompt parts of a generation in order; empty for other requests
 */
public record CallerRequestHead(
        @Nullable String attemptId,
        long timeoutMillis,
        @Nullable String apiKey,
        long promptTokens,
        long outputTokens,
        long lastEventId,
        List<PromptPart> promptParts) {
    /** Head of a request that could not be decoded. */
    public static final CallerRequestHead UNKNOWN = new CallerRequestHead(null, 0, null, 0, 0, 0, List.of());

    /** Makes a defensive copy of the prompt parts. */
    public CallerRequestHead {
        promptParts = List.copyOf(promptParts);
    }

    /** Returns the prompt parts that other requests may share: all but the last one, which belongs to this request. */
    public List<PromptPart> sharedPromptParts() {
        return promptParts.isEmpty() ? promptParts : promptParts.subList(0, promptParts.size() - 1);
    }

    /** Returns the tokens that the generation occupies in the KV cache of an engine when it ends. */
    public long totalTokens() {
        return promptTokens + outputTokens;
    }
}
