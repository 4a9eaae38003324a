package io.laburnummoor.core.request;

import org.jspecify.annotations.Nullable;

/**
 * The state machine of a key: none to CLAIMED, CLAIMED to DONE or RELEASED, RELEASED to a new claim.
 *
 * <p>All commands are idempotent by their nonce, because a claimant repeats a command whose answer was lost.
 */
public final class ClaimRules {
    private ClaimRules() {}

    /**
     * Decides a command.
     *
     * @param current last record of the key, or null
     */
    public static Decision decide(@Nullable ClaimRecord current, ClaimRecord command) {
        return switch (command.state()) {
            case CLAIMED -> decideClaim(current, command);
            case DONE -> decideDone(current, command);
            case RELEASED -> decideRelease(current, command);
        };
    }

    private static Decision decideClaim(@Nullable ClaimRecord current, ClaimRecord command) {
        if (current == null) {
            return append(ClaimOutcome.Kind.GRANTED);
        }
        boolean own = current.nonce().equals(command.nonce());
        if (current.state() == ClaimState.RELEASED) {
            // A claim that arrives after its own release was delayed; its claimant has already reported "not run".
            return own ? keep(ClaimOutcome.Kind.REJECTED) : append(ClaimOutcome.Kind.GRANTED);
        }
        if (own) {
            return keep(current.state() == ClaimState.CLAIMED ? ClaimOutcome.Kind.GRANTED : ClaimOutcome.Kind.REJECTED);
        }
        return answerFromOther(current, command);
    }

    private static Decision decideDone(@Nullable ClaimRecord current, ClaimRecord command) {
        if (current == null || !current.nonce().equals(command.nonce())) {
            return keep(ClaimOutcome.Kind.REJECTED);
        }
        return switch (current.state()) {
            case CLAIMED -> append(ClaimOutcome.Kind.RECORDED);
            case DONE -> keep(ClaimOutcome.Kind.RECORDED);
            case RELEASED -> keep(ClaimOutcome.Kind.REJECTED);
        };
    }

    private static Decision decideRelease(@Nullable ClaimRecord current, ClaimRecord command) {
        if (current == null) {
            // The claim may still be on its way; this record makes it fail when it arrives.
            return append(ClaimOutcome.Kind.RECORDED);
        }
        boolean own = current.nonce().equals(command.nonce());
        if (current.state() == ClaimState.RELEASED) {
            return own ? keep(ClaimOutcome.Kind.RECORDED) : append(ClaimOutcome.Kind.RECORDED);
        }
        if (own) {
            return current.state() == ClaimState.CLAIMED
                    ? append(ClaimOutcome.Kind.RECORDED)
                    : keep(ClaimOutcome.Kind.REJECTED);
        }
        // The claim never took effect, but another one did: the claimant must not say that the key was not run.
        return answerFromOther(current, command);
    }

    private static Decision answerFromOther(ClaimRecord current, ClaimRecord command) {
        if (!current.bodyDigest().equals(command.bodyDigest())) {
            return keep(ClaimOutcome.Kind.KEY_REUSED);
        }
        return current.state() == ClaimState.DONE
                ? new Decision(new ClaimOutcome(ClaimOutcome.Kind.ALREADY_DONE, current.result()), false)
                : keep(ClaimOutcome.Kind.ALREADY_CLAIMED);
    }

    private static Decision append(ClaimOutcome.Kind kind) {
        return new Decision(ClaimOutcome.of(kind), true);
    }

    private static Decision keep(ClaimOutcome.Kind kind) {
        return new Decision(ClaimOutcome.of(kind), false);
    }

    /**
     * What to do with a command.
     *
     * @param outcome answer, valid once the append is durable
     * @param append whether the command becomes a record of the segment
     */
    public record Decision(ClaimOutcome outcome, boolean append) {}
}
