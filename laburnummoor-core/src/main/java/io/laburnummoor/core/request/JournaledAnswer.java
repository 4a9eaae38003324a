package io.laburnummoor.core.request;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A journaled answer as a router reads it from an agent.
 *
 * @param history epochs of the answer, oldest first
 * @param writer name of the writing router
 * @param binding what the answer is bound to
 * @param bodyDigest digest of the request's body
 * @param tokens journaled tokens
 * @param finishReason why the answer ended, or null while it runs
 * @param writerAlive whether the writer has recently changed or renewed the entry
 * @param callerAttached whether a caller is attached to the writer
 */
public record JournaledAnswer(
        List<EpochSpan> history,
        String writer,
        Binding binding,
        String bodyDigest,
        List<Token> tokens,
        @Nullable FinishReason finishReason,
        boolean writerAlive,
        boolean callerAttached) {

    /** Returns the epoch of the writer. */
    public long epoch() {
        return history.get(history.size() - 1).epoch();
    }

    /** Returns the content of a journal entry. */
    public static JournaledAnswer of(JournalEntry entry, boolean writerAlive) {
        return new JournaledAnswer(
                entry.history(),
                entry.writer(),
                entry.binding(),
                entry.bodyDigest(),
                entry.tokens(),
                entry.finishReason(),
                writerAlive,
                entry.callerAttached());
    }

    /**
     * Returns whether this copy is newer than another: by epoch, then by number of tokens, then by whether it has
     * ended.
     */
    public boolean isNewerThan(JournaledAnswer other) {
        if (epoch() != other.epoch()) {
            return epoch() > other.epoch();
        }
        return tokens.size() != other.tokens.size()
                ? tokens.size() > other.tokens.size()
                : finishReason != null && other.finishReason == null;
    }
}
