package io.laburnummoor.core.request;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import org.jspecify.annotations.Nullable;

/** Decides how a router goes on with a request whose journal it has read. */
public enum OpenDecision {
    /** Generate from the start. */
    START_NEW,
    /** Give the finished answer again. */
    REPLAY,
    /** Become the writer and go on after the journaled tokens. */
    TAKE_OVER;

    /**
     * Decides from what was found.
     *
     * @param found journaled answer, or null if there is none
     * @param resume where the caller wants to go on, or null for a request without {@code Last-Event-ID}
     * @param bodyDigest digest of the request's body
     * @throws LaburnummoorException with code {@code key_reused}, {@code answer_lost} or {@code duplicate_running}
     */
    public static OpenDecision decide(
            @Nullable JournaledAnswer found, @Nullable ResumePosition resume, String bodyDigest) {
        int offset = resume == null ? 0 : resume.offset();
        if (found == null) {
            if (offset > 0) {
                throw new LaburnummoorException(
                        ErrorCode.ANSWER_LOST, "the answer cannot go on at token " + offset + ": its journal is gone");
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
                    "the answer cannot go on at token " + offset + ": the journal has another copy with "
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
