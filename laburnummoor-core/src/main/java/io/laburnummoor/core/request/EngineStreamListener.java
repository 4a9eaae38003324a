package io.laburnummoor.core.request;

/**
 * Receives the events of one attempt. Exactly one of {@link #onEnd} and {@link #onFailure} is called, as the last
 * event.
 */
public interface EngineStreamListener {
    /** Handles a token; the offset counts from the start of the whole answer. */
    void onToken(int offset, Token token);

    /** Handles the normal end after the given number of tokens of the whole answer. */
    void onEnd(int tokenCount, FinishReason reason);

    /** Handles the failure of the attempt. */
    void onFailure(AttemptFailure failure, String detail);
}
