package io.laburnummoor.core.process;

import java.util.Collection;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.ConfigRepository.Head;
import io.laburnummoor.core.version.ConfigDelta;
import io.laburnummoor.core.version.ConfigEntry;
import io.laburnummoor.core.version.ConfigState;
import org.jspecify.annotations.Nullable;

/** Makes a new revision of the configuration; of two racing publishers one is told of the conflict. */
public final class ConfigPublisher {
    private static final int MAX_ATTEMPTS = 5;

    private final ConfigRepository repository;
    private final Runnable retryDelay;

    /**
     * Creates a publisher to a history.
     *
     * @param retryDelay waits between two attempts
     */
    public ConfigPublisher(ConfigRepository repository, Runnable retryDelay) {
        this.repository = repository;
        this.retryDelay = retryDelay;
    }

    /** Reads the set at the head. */
    public Base readBase() {
        Head head = repository.head();
        return new Base(head, head == null ? ConfigState.EMPTY : repository.load(head, ConfigState.EMPTY));
    }

    /**
     * Makes the given entries the next revision after the base.
     *
     * @param operationId id of this operation, never used before
     * @throws LaburnummoorException with code {@code outcome_unknown} if the service stayed away so long that it is not
     *     known whether the change was accepted
     */
    public Outcome publish(Base base, Collection<ConfigEntry> entries, String operationId) {
        ConfigDelta delta = base.state().deltaTo(entries, operationId);
        if (delta.isEmpty()) {
            return new Outcome(Result.UNCHANGED, delta);
        }
        LaburnummoorException lastFailure = null;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                // A head that is not the base any more never becomes it again, so a delayed copy of an earlier attempt
                // cannot take effect after the answer that is given here.
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

    /** How a publication ended. */
    public enum Result {
        /** The revision is in the history. */
        ACCEPTED,
        /** The entries are in force already. */
        UNCHANGED,
        /** Another operation made the next revision; nothing was changed. */
        CONFLICT
    }

    /**
     * The set that a change starts from.
     *
     * @param head head as read, null before the first revision
     * @param state set at the head
     */
    public record Base(@Nullable Head head, ConfigState state) {}

    /**
     * The end of a publication.
     *
     * @param result how it ended
     * @param delta change that was asked for
     */
    public record Outcome(Result result, ConfigDelta delta) {}
}
