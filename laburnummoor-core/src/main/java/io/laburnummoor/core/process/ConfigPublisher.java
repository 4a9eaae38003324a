package io.laburnummoor.core.process;

import java.util.Collection;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.ConfigRepository.Head;
import io.laburnummoor.core.version.ConfigDelta;
import io.laburnummoor.core.version.ConfigEntry;
import io.laburnummoor.core.version.ConfigState;
import org.jspecify.annotations.Nullable;

/**
 * Publishes a new revision of the configuration for an operator's command; of two concurrent publishers one gets a
 * conflict.
 */
public final class ConfigPublisher {
    private static final int MAX_ATTEMPTS = 5;

    private final ConfigRepository repository;
    private final Runnable retryDelay;

    /**
     * Creates a publisher.
     *
     * @param retryDelay waits between two attempts
     */
    public ConfigPublisher(ConfigRepository repository, Runnable retryDelay) {
        this.repository = repository;
        this.retryDelay = retryDelay;
    }

    /** Reads the configuration at the head revision. */
    public Base readBase() {
        Head head = repository.head();
        return new Base(head, head == null ? ConfigState.EMPTY : repository.load(head, ConfigState.EMPTY));
    }

    /**
     * Publishes the given entries as the revision after the base.
     *
     * @param operationId id of this operation, never used before
     * @throws LaburnummoorException with code {@code outcome_unknown} if the store was unavailable for so long that it
     *     is unknown whether the change was accepted
     */
    public Outcome publish(Base base, Collection<ConfigEntry> entries, String operationId) {
        ConfigDelta delta = base.state().deltaTo(entries, operationId);
        if (delta.isEmpty()) {
            return new Outcome(Result.UNCHANGED, delta);
        }
        LaburnummoorException lastFailure = null;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                // Once the head has moved on from the base it never returns to it, so a delayed copy of an earlier
                // attempt cannot take effect after this outcome is returned.
                boolean replaced = repository.replaceHead(base.head(), base.state(), delta);
                return outcome(replaced || repository.isAccepted(delta), delta);
            } catch (LaburnummoorException failure) {
                lastFailure = failure;
                retryDelay.run();
            }
        }
        throw new LaburnummoorException(
                ErrorCode.OUTCOME_UNKNOWN,
                "it is not known whether revision " + delta.revision() + " by operation " + operationId
                        + " was accepted: " + (lastFailure == null ? "" : lastFailure.getMessage()),
                lastFailure);
    }

    private static Outcome outcome(boolean accepted, ConfigDelta delta) {
        return new Outcome(accepted ? Result.ACCEPTED : Result.CONFLICT, delta);
    }

    /** Result of a publication. */
    public enum Result {
        /** The revision is in the history. */
        ACCEPTED,
        /** The entries equal those of the base; nothing was written. */
        UNCHANGED,
        /** Another operation published the next revision; nothing was changed. */
        CONFLICT
    }

    /**
     * The configuration that a change is based on.
     *
     * @param head head as read, null before the first revision
     * @param state configuration at the head
     */
    public record Base(@Nullable Head head, ConfigState state) {}

    /**
     * The outcome of a publication.
     *
     * @param result result of the publication
     * @param delta requested change
     */
    public record Outcome(Result result, ConfigDelta delta) {}
}
