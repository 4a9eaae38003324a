package io.laburnummoor.router.connection;

import java.util.List;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.ResumePosition;
import io.laburnummoor.core.request.Token;

/** The connection to a caller that receives one answer. No method blocks. */
public interface CallerStream {
    /** Starts the response; called once before any token. */
    void open(String idempotencyKey);

    /**
     * Sends tokens.
     *
     * @param next position from which the caller would go on after these tokens
     */
    void sendTokens(int offset, List<Token> tokens, ResumePosition next);

    /** Sends something that callers ignore, so that a lost connection is noticed while there are no tokens. */
    void sendKeepAlive();

    /** Ends the response normally. */
    void finish(int tokenCount, FinishReason reason);

    /** Refuses the request before the response has started. */
    void refuse(ErrorCode code, String detail, long retryAfterMillis);

    /** Ends the response with an error. */
    void fail(ErrorCode code, String detail);
}
