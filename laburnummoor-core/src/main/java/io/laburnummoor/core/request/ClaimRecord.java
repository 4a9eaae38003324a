package io.laburnummoor.core.request;

import org.jspecify.annotations.Nullable;

/**
 * A transition of a key's claim: a command before it is committed, a line of a segment afterwards.
 *
 * @param state state that the key enters
 * @param id key and its organisation
 * @param nonce identity of one claim; a router uses each nonce once
 * @param claimant name of the router that made the claim
 * @param bodyDigest digest of the call
 * @param deadlineMillis wall-clock time after which the claim must not be committed or handed over
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

    /** Returns the record that a call of this claim has finished. */
    public ClaimRecord done(RecordedResult finished) {
        return new ClaimRecord(ClaimState.DONE, id, nonce, claimant, bodyDigest, deadlineMillis, finished);
    }

    /** Returns the record that this claim was given up without a run. */
    public ClaimRecord released() {
        return new ClaimRecord(ClaimState.RELEASED, id, nonce, claimant, bodyDigest, deadlineMillis, null);
    }
}
