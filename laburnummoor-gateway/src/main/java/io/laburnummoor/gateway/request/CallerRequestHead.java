package io.laburnummoor.gateway.request;

import java.util.List;

import io.laburnummoor.core.request.PromptPart;
import org.jspecify.annotations.Nullable;

/**
 * What the head of a caller's request says to the system.
 *
 * @param attemptId id of this attempt of the caller, or null if it sent none or more than one
 * @param timeoutMillis time that the caller waits, from the arrival of the request; 0 if it does not say
 * @param apiKey secret of the caller's organisation, or null
 * @param promptTokens tokens of a generation's prompt; 0 for other requests
 * @param outputTokens greatest number of tokens to generate; 0 for other requests
 * @param lastEventId id of the last event that the caller already has; 0 if it starts anew
 * @param promptParts parts of a generation's prompt in their order, empty for other requests
 */
public record CallerRequestHead(
        @Nullable String attemptId,
        long timeoutMillis,
        @Nullable String apiKey,
        long promptTokens,
        long outputTokens,
        long lastEventId,
        List<PromptPart> promptParts) {
    /** Copies the parts. */
    public CallerRequestHead {
        promptParts = List.copyOf(promptParts);
    }

    /** Returns the tokens that the generation takes in an engine's memory at its end. */
    public long totalTokens() {
        return promptTokens + outputTokens;
    }
}
