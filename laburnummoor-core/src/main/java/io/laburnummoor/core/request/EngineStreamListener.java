package io.laburnummoor.core.request;

/** Receives the events of one attempt. Exactly one of the two ends arrives, and nothing after it. */
public interface EngineStreamListener {
    /** Handles a token; the offset counts from the start of the whole answer. */
    void onToken(int offset, Token token);

    /** Handles the normal end after the given number of tokens of the whole answer. */
    void onEnd(int tokenCount, FinishReason reason);

    /** Handles the loss of the attempt. */
    void onFailure(AttemptFailure failure, String detail);
}
