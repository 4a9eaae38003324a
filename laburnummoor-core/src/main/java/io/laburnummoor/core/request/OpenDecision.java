package io.laburnummoor.core.request;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import org.jspecify.annotations.Nullable;

/** How a router continues a request whose journal it has read. */
public enum OpenDecision {
    /** Generate the answer from the start. */
    START_NEW,
    /** Replay the finished answer. */
    REPLAY,
    /** Become the writer and continue after the journaled tokens. */
    TAKE_OVER;

    /**
     * Decides from the journaled answer and the position at which the caller resumes.
     *
     * @param found journaled answer, or null if there is none
     * @param resume position at which the caller resumes, or null for a request without {@code Last-Event-ID}
     * @param bodyDigest digest of the request's body
     * @throws LaburnummoorException with code {@code key_reused}, {@code answer_lost} or {@code duplicate_running}
     */
    public static OpenDecision decide(
            @Nullable JournaledAnswer found, @Nullable ResumePosition resume, String bodyDigest) {
        int offset = resume == null ? 0 : resume.offset();
        if (found == null) {
            if (offset > 0) {
                throw new LaburnummoorException(
                        ErrorCode.ANSWER_LOST,
                        "the answer cannot be resumed at token " + offset
                                + ": no journal entry was found on any agent");
            }
            return START_NEW;
        }
        if (!found.bodyDigest().equals(bodyDigest)) {
            throw new LaburnummoorException(
                    ErrorCode.KEY_REUSED, "the idempotency key was used before with another body");
        }
        if (resume != null && !EpochSpan.covers(found.history(), found.tokens().size(), resume)) {
            throw new LaburnummoorException(
                    ErrorCode.ANSWER_LOST,
                    "the answer cannot be resumed at token " + offset
                            + ": the copy on the journal agent differs and has "
                            + found.tokens().size() + " tokens");
        }
        if (found.finishReason() != null) {
            return REPLAY;
        }
        if (resume == null && found.writerAlive() && found.callerAttached()) {
            throw new LaburnummoorException(
                    ErrorCode.DUPLICATE_RUNNING, "a request with this idempotency key is running");
        }
        return TAKE_OVER;
    }
}
