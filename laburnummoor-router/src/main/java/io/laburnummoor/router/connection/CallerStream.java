package io.laburnummoor.router.connection;

import java.util.List;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.ResumePosition;
import io.laburnummoor.core.request.Token;

/** The response stream to a caller that receives one answer. No method blocks. */
public interface CallerStream {
    /** Starts the response; called once before any tokens are sent. */
    void open(String idempotencyKey);

    /**
     * Sends tokens.
     *
     * @param next position from which the caller can resume after these tokens
     */
    void sendTokens(int offset, List<Token> tokens, ResumePosition next);

    /** Sends data that callers ignore, so that a lost connection is detected while there are no tokens. */
    void sendKeepAlive();

    /** Ends the response after the complete answer. */
    void finish(int tokenCount, FinishReason reason);

    /** Rejects the request before the response has started. */
    void refuse(ErrorCode code, String detail, long retryAfterMillis);

    /** Ends the response with an error; callable before and after {@link #open}. */
    void fail(ErrorCode code, String detail);
}
