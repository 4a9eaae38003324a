package io.laburnummoor.core.request;

import org.jspecify.annotations.Nullable;

/**
 * State transition of an idempotency key's claim: a command before it is committed, a record in a segment of the
 * partition's claim log afterwards.
 *
 * @param state state that the key enters
 * @param id key and its organisation
 * @param nonce identity of one claim; a router uses each nonce once
 * @param claimant name of the router that made the claim
 * @param bodyDigest digest of the call
 * @param deadlineMillis wall-clock time after which the claim must not be committed and its call must not be dispatched
 * @param result recorded result, null unless the state is {@link ClaimState#DONE}
 */
public record ClaimRecord(
        ClaimState state,
        RequestId id,
        String nonce,
        String claimant,
        String bodyDigest,
        long deadlineMillis,
        @Nullable RecordedResult result) {

    /** Returns the record that marks this claim as done with the given result. */
    public ClaimRecord done(RecordedResult finished) {
        return new ClaimRecord(ClaimState.DONE, id, nonce, claimant, bodyDigest, deadlineMillis, finished);
    }

    /** Returns the record that releases this claim because its call was not run. */
    public ClaimRecord released() {
        return new ClaimRecord(ClaimState.RELEASED, id, nonce, claimant, bodyDigest, deadlineMillis, null);
    }
}
