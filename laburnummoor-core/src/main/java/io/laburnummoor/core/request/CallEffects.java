package io.laburnummoor.core.request;

import io.laburnummoor.core.ErrorCode;

/** Side effects that a {@link NonIdempotentCall} requests. */
public interface CallEffects {
    /**
     * Requests a claim from the holder of its partition; the outcome goes to {@link NonIdempotentCall#onClaimOutcome}.
     */
    void claim(ClaimRecord claim);

    /** Dispatches the call to an upstream; called at most once. */
    void dispatch();

    /** Releases the claim, then calls {@link NonIdempotentCall#onReleaseOutcome}; retries in the background. */
    void release(ClaimRecord released, String reason);

    /** Records the result; retries in the background. */
    void record(ClaimRecord done);

    /** Forwards the upstream's response to the caller. */
    void forwardResponse();

    /** Replies with the recorded result of an earlier call. */
    void replayResult(RecordedResult result);

    /** Replies with an error. */
    void fail(ErrorCode code, String detail);
}
