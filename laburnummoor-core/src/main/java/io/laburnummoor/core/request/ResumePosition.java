package io.laburnummoor.core.request;

import org.jspecify.annotations.Nullable;

/**
 * The position at which a caller resumes an answer, from its {@code Last-Event-ID}.
 *
 * <p>The text form is {@code <journal agent id>:<epoch>:<offset>}.
 *
 * @param journalAgentId agent that stored the journal when the event was sent
 * @param epoch epoch of the writer that sent the event
 * @param offset offset of the next token that the caller needs
 */
public record ResumePosition(String journalAgentId, long epoch, int offset) {
    /**
     * Parses the text form; returns null if it is malformed.
     */
    public static @Nullable ResumePosition parse(String text) {
        int offsetStart = text.lastIndexOf(':');
        int epochStart = offsetStart < 0 ? -1 : text.lastIndexOf(':', offsetStart - 1);
        if (epochStart < 0) {
            return null;
        }
        try {
            long epoch = Long.parseLong(text.substring(epochStart + 1, offsetStart));
            int offset = Integer.parseInt(text.substring(offsetStart + 1));
            return offset < 0 ? null : new ResumePosition(text.substring(0, epochStart), epoch, offset);
        } catch (NumberFormatException malformed) {
            return null;
        }
    }

    @Override
    public String toString() {
        return journalAgentId + ":" + epoch + ":" + offset;
    }
}
