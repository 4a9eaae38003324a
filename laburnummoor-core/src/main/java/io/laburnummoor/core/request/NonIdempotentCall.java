package io.laburnummoor.core.request;

import io.laburnummoor.core.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Decides, on the router that received a non-idempotent call, when the call may be dispatched and what the caller is
 * told. Events of one call are serialised by its owner.
 */
public final class NonIdempotentCall {
    /**
     * Maximum age of a key that is presumed to be unused. Callers create a key for a call and send it at once; a retry
     * that reaches neither the store nor the holder must not be told "not run" on behalf of an earlier attempt.
     */
    static final long MAX_FIRST_USE_AGE_MILLIS = 1_000;
    /**
     * Time after the claim's deadline within which a recorded release proves that no earlier attempt ran. Later, after
     * a pause of this router, the claim of an earlier attempt may have expired and its segment may have been dropped.
     */
    static final long RELEASE_PROOF_VALIDITY_MILLIS = 30_000;

    private final ClaimRecord claim;
    private final CallEffects effects;
    private final boolean presumedFirstUse;
    private boolean granted;
    private ErrorCode fallbackCode = ErrorCode.NOT_RUN;
    private Phase phase = Phase.CLAIMING;

    /**
     * Creates the call of a claim that is about to be requested.
     *
     * @param keyAgeMillis time since the key's issue; a key younger than {@link #MAX_FIRST_USE_AGE_MILLIS} is presumed
     *     to be used for the first time if no holder can tell
     */
    public NonIdempotentCall(ClaimRecord claim, long keyAgeMillis, CallEffects effects) {
        this.claim = claim;
        this.presumedFirstUse = keyAgeMillis <= MAX_FIRST_USE_AGE_MILLIS;
        this.effects = effects;
    }

    /** Requests the claim. */
    public void start() {
        effects.claim(claim);
    }

    /** Handles the outcome of the claim; {@code UNAVAILABLE} also stands for a missing reply. */
    public void onClaimOutcome(ClaimOutcome outcome, long nowMillis) {
        if (phase != Phase.CLAIMING) {
            return;
        }
        switch (outcome.kind()) {
            case GRANTED -> {
                granted = true;
                if (nowMillis < claim.deadlineMillis()) {
                    phase = Phase.DISPATCHING;
                    effects.dispatch();
                } else {
                    releaseClaim(ErrorCode.NOT_RUN, "the claim was granted after its deadline");
                }
            }
            case ALREADY_DONE, ALREADY_CLAIMED, KEY_REUSED -> answerFromEarlierClaim(outcome);
            case UNAVAILABLE_FIRST_USE -> releaseClaim(ErrorCode.NOT_RUN, "no claim could be made");
            case UNAVAILABLE -> releaseClaim(
                    presumedFirstUse ? ErrorCode.NOT_RUN : ErrorCode.OUTCOME_UNKNOWN,
                    presumedFirstUse
                            ? "no claim could be made"
                            : "no claim could be made and earlier attempts with this key could not be checked");
            default -> releaseClaim(ErrorCode.NOT_RUN, "the claim was rejected");
        }
    }

    /** Handles the proof that no byte of the call reached an upstream. */
    public void onNotSent(String reason) {
        if (phase == Phase.DISPATCHING) {
            releaseClaim(ErrorCode.NOT_RUN, reason);
        }
    }

    /** Handles the upstream's response. */
    public void onResult(RecordedResult recorded) {
        if (phase == Phase.DISPATCHING) {
            phase = Phase.FINISHED;
            effects.record(claim.done(recorded));
            effects.forwardResponse();
        }
    }

    /** Handles a failure after which the upstream may have run the call; the claim is not released. */
    public void onOutcomeUnknown(String reason) {
        if (phase == Phase.DISPATCHING) {
            fail(ErrorCode.OUTCOME_UNKNOWN, reason);
        }
    }

    /**
     * Handles the outcome of the release. If it is unavailable, the claim is released in the background, and the caller
     * is told what was known when the release was requested.
     */
    public void onReleaseOutcome(ClaimOutcome outcome, String reason, long nowMillis) {
        if (phase != Phase.RELEASING) {
            return;
        }
        switch (outcome.kind()) {
            case RECORDED -> {
                boolean provedNotRun = granted || nowMillis < claim.deadlineMillis() + RELEASE_PROOF_VALIDITY_MILLIS;
                fail(provedNotRun ? ErrorCode.NOT_RUN : ErrorCode.OUTCOME_UNKNOWN, reason);
            }
            case ALREADY_DONE, ALREADY_CLAIMED, KEY_REUSED -> answerFromEarlierClaim(outcome);
            default -> fail(fallbackCode, reason);
        }
    }

    private void releaseClaim(ErrorCode code, String reason) {
        fallbackCode = code;
        phase = Phase.RELEASING;
        effects.release(claim.released(), reason);
    }

    private void answerFromEarlierClaim(ClaimOutcome outcome) {
        switch (outcome.kind()) {
            case ALREADY_DONE -> finishWithRecordedResult(outcome.result());
            case KEY_REUSED -> fail(ErrorCode.KEY_REUSED, "the key was used before with another request");
            default -> fail(
                    ErrorCode.OUTCOME_UNKNOWN, "a call with this key was claimed before and has no recorded result");
        }
    }

    private void finishWithRecordedResult(@Nullable RecordedResult result) {
        if (result == null || result.bodyBase64() == null) {
            fail(
                    ErrorCode.OUTCOME_UNKNOWN,
                    result == null
                            ? "the call has finished but its result was not recorded"
                            : "the call has finished with status " + result.status() + " but its body of "
                                    + result.sizeBytes() + " bytes was too large to record");
            return;
        }
        phase = Phase.FINISHED;
        effects.replayResult(result);
    }

    private void fail(ErrorCode code, String detail) {
        phase = Phase.FINISHED;
        effects.fail(code, detail);
    }

    private enum Phase {
        CLAIMING,
        DISPATCHING,
        RELEASING,
        FINISHED
    }
}
