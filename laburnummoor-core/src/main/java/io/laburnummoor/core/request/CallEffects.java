package io.laburnummoor.core.request;

import io.laburnummoor.core.ErrorCode;

/** What a {@link NonIdempotentCall} brings about. */
public interface CallEffects {
    /** Requests a claim from the holder of its partition; answered by {@link NonIdempotentCall#onClaimOutcome}. */
    void claim(ClaimRecord claim);

    /** Hands the call to an upstream; called at most once. */
    void dispatch();

    /** Releases the claim, then calls {@link NonIdempotentCall#onReleaseOutcome}; keeps trying in the background. */
    void release(ClaimRecord released, String reason);

    /** Records the result; keeps trying in the background. */
    void record(ClaimRecord done);

    /** Passes the upstream's answer to the caller. */
    void forwardResponse();

    /** Answers with the result of an earlier call. */
    void replayResult(RecordedResult result);

    /** Answers with an error. */
    void fail(ErrorCode code, String detail);
}
