package io.laburnummoor.core.request;

import java.util.List;

import io.laburnummoor.core.ErrorCode;

/** Side effects that an {@link Answer} requests; calls arrive one at a time. */
public interface AnswerEffects {
    /**
     * Starts an attempt that continues after the accepted tokens. Its dispatch and its outcome, including that no
     * upstream was found, are reported to the answer later, never from within this call.
     *
     * @param attempt number of the attempt
     * @param accepted tokens accepted so far
     * @param reason why the attempt is started
     */
    void startAttempt(int attempt, List<Token> accepted, AttemptReason reason);

    /** Cancels the stream of an attempt. */
    void cancelAttempt(int attempt);

    /** Sends accepted tokens to the journal; the first has the given offset. */
    void appendToJournal(int offset, List<Token> tokens);

    /** Sends the end of the answer to the journal. */
    void finishJournal(int tokenCount, FinishReason reason);

    /** Delivers tokens to the attached caller; the first has the given offset. */
    void deliver(int offset, List<Token> tokens);

    /** Ends the answer normally. */
    void finish(int tokenCount, FinishReason reason);

    /** Ends the answer with an error. */
    void fail(ErrorCode code, String detail);
}
