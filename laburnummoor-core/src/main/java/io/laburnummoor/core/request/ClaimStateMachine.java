package io.laburnummoor.core.request;

import org.jspecify.annotations.Nullable;

/**
 * The state machine of an idempotency key: none to CLAIMED, CLAIMED to DONE or RELEASED, RELEASED to a new claim.
 *
 * <p>All commands are idempotent by their nonce, because a claimant retries a command whose reply was lost.
 */
public final class ClaimStateMachine {
    private ClaimStateMachine() {}

    /**
     * Decides whether a command takes effect.
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
        boolean sameClaim = current.nonce().equals(command.nonce());
        if (current.state() == ClaimState.RELEASED) {
            // A claim that arrives after its own release was delayed; its claimant has already reported "not run".
            return sameClaim ? leaveUnchanged(ClaimOutcome.Kind.REJECTED) : append(ClaimOutcome.Kind.GRANTED);
        }
        if (sameClaim) {
            return leaveUnchanged(
                    current.state() == ClaimState.CLAIMED ? ClaimOutcome.Kind.GRANTED : ClaimOutcome.Kind.REJECTED);
        }
        return outcomeOfOtherClaim(current, command);
    }

    private static Decision decideDone(@Nullable ClaimRecord current, ClaimRecord command) {
        if (current == null || !current.nonce().equals(command.nonce())) {
            return leaveUnchanged(ClaimOutcome.Kind.REJECTED);
        }
        return switch (current.state()) {
            case CLAIMED -> append(ClaimOutcome.Kind.RECORDED);
            case DONE -> leaveUnchanged(ClaimOutcome.Kind.RECORDED);
            case RELEASED -> leaveUnchanged(ClaimOutcome.Kind.REJECTED);
        };
    }

    private static Decision decideRelease(@Nullable ClaimRecord current, ClaimRecord command) {
        if (current == null) {
            // The claim may still be in transit; because of this record it is rejected when it arrives.
            return append(ClaimOutcome.Kind.RECORDED);
        }
        boolean sameClaim = current.nonce().equals(command.nonce());
        if (current.state() == ClaimState.RELEASED) {
            return sameClaim ? leaveUnchanged(ClaimOutcome.Kind.RECORDED) : append(ClaimOutcome.Kind.RECORDED);
        }
        if (sameClaim) {
            return current.state() == ClaimState.CLAIMED
                    ? append(ClaimOutcome.Kind.RECORDED)
                    : leaveUnchanged(ClaimOutcome.Kind.REJECTED);
        }
        // The claim never took effect, but another one did: the claimant must not report that the call was not run.
        return outcomeOfOtherClaim(current, command);
    }

    private static Decision outcomeOfOtherClaim(ClaimRecord current, ClaimRecord command) {
        if (!current.bodyDigest().equals(command.bodyDigest())) {
            return leaveUnchanged(ClaimOutcome.Kind.KEY_REUSED);
        }
        return current.state() == ClaimState.DONE
                ? new Decision(new ClaimOutcome(ClaimOutcome.Kind.ALREADY_DONE, current.result()), false)
                : leaveUnchanged(ClaimOutcome.Kind.ALREADY_CLAIMED);
    }

    private static Decision append(ClaimOutcome.Kind kind) {
        return new Decision(ClaimOutcome.of(kind), true);
    }

    private static Decision leaveUnchanged(ClaimOutcome.Kind kind) {
        return new Decision(ClaimOutcome.of(kind), false);
    }

    /**
     * The decision on a command.
     *
     * @param outcome outcome of the command, valid once the append is durable
     * @param append whether the command becomes a record of the claim log
     */
    public record Decision(ClaimOutcome outcome, boolean append) {}
}
