package io.laburnummoor.core.request;

import org.jspecify.annotations.Nullable;

/**
 * Outcome of one claim command.
 *
 * @param kind how the command was decided
 * @param result recorded result, null unless the kind is {@link Kind#ALREADY_DONE}
 */
public record ClaimOutcome(Kind kind, @Nullable RecordedResult result) {
    /** How a command was decided. */
    public enum Kind {
        /** The claim is durable and belongs to the nonce of the command. */
        GRANTED,
        /** Another claim of the key exists and has no result. */
        ALREADY_CLAIMED,
        /** The key has a recorded result. */
        ALREADY_DONE,
        /** The key was used with another body. */
        KEY_REUSED,
        /** The result or release is durable, written by this command or an earlier one. */
        RECORDED,
        /** The command contradicts the state of the key and was not recorded. */
        REJECTED,
        /** It is not known whether the command took or will take effect, nor whether the key was used before. */
        UNAVAILABLE,
        /** Like {@link #UNAVAILABLE}, but the holder knows that the key was not claimed before. */
        UNAVAILABLE_FIRST_USE
    }

    /** Returns whether the outcome is unknown, so that the command must be retried or the claim released. */
    public boolean isUnavailable() {
        return kind == Kind.UNAVAILABLE || kind == Kind.UNAVAILABLE_FIRST_USE;
    }

    /** Returns an outcome without a result. */
    public static ClaimOutcome of(Kind kind) {
        return new ClaimOutcome(kind, null);
    }
}
