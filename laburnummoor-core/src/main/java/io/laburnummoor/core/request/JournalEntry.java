package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The journaled state of one answer; immutable.
 *
 * <p>Successive entries of the same writer share one token log: an append writes after the part that older entries
 * read, so that a long answer is not copied for each token.
 */
public final class JournalEntry {
    /** Estimated memory of an entry in addition to its token log. */
    private static final long ENTRY_OVERHEAD_BYTES = 400;

    private final List<EpochSpan> history;
    private final String writer;
    private final Binding binding;
    private final String bodyDigest;
    private final TokenLog tokenLog;
    private final int tokenCount;
    private final long sizeBytes;
    private final @Nullable FinishReason finishReason;
    private final boolean callerAttached;
    private final long expiryDeadlineMillis;

    private JournalEntry(
            JournalEntry previous,
            int tokenCount,
            long sizeBytes,
            @Nullable FinishReason finishReason,
            boolean callerAttached,
            long expiryDeadlineMillis) {
        this.history = previous.history;
        this.writer = previous.writer;
        this.binding = previous.binding;
        this.bodyDigest = previous.bodyDigest;
        this.tokenLog = previous.tokenLog;
        this.tokenCount = tokenCount;
        this.sizeBytes = sizeBytes;
        this.finishReason = finishReason;
        this.callerAttached = callerAttached;
        this.expiryDeadlineMillis = expiryDeadlineMillis;
    }

    private JournalEntry(JournalOpenRequest openRequest, long expiryDeadlineMillis) {
        this.history = List.copyOf(openRequest.history());
        this.writer = openRequest.writer();
        this.binding = openRequest.binding();
        this.bodyDigest = openRequest.bodyDigest();
        this.tokenLog = new TokenLog();
        tokenLog.append(openRequest.tokens());
        this.tokenCount = openRequest.tokens().size();
        this.sizeBytes = ENTRY_OVERHEAD_BYTES + tokenLog.sizeBytes();
        this.finishReason = null;
        this.callerAttached = openRequest.callerAttached();
        this.expiryDeadlineMillis = expiryDeadlineMillis;
    }

    /** Returns a new, unfinished entry. */
    public static JournalEntry open(JournalOpenRequest openRequest, long expiryDeadlineMillis) {
        return new JournalEntry(openRequest, expiryDeadlineMillis);
    }

    /**
     * Returns whether a writer with the given epoch and number of tokens may replace this entry. A repeated open
     * request of the same writer must not remove tokens that were appended after the first one.
     */
    public boolean canBeReplacedBy(long newEpoch, int newTokenCount) {
        return newEpoch > epoch() || (newEpoch == epoch() && newTokenCount >= tokenCount && finishReason == null);
    }

    /** Returns this entry with a new writer that continues after its tokens. */
    public JournalEntry takeOver(RequestId id, long newEpoch, String newWriter, long newExpiryDeadlineMillis) {
        List<EpochSpan> newHistory = new ArrayList<>(history);
        newHistory.add(new EpochSpan(newEpoch, tokenCount));
        return new JournalEntry(
                new JournalOpenRequest(id, newWriter, binding, bodyDigest, newHistory, tokens(), true),
                newExpiryDeadlineMillis);
    }

    /**
     * Returns this entry with the append applied, or null if tokens before the offset or before the end are missing.
     */
    public @Nullable JournalEntry append(JournalAppend append, long newExpiryDeadlineMillis) {
        int knownCount = Math.min(tokenCount - append.offset(), append.tokens().size());
        if (knownCount < 0) {
            return null;
        }
        List<Token> added = append.tokens().subList(knownCount, append.tokens().size());
        int newCount = tokenCount + added.size();
        boolean ends = append.finishReason() != null;
        if (ends && newCount != append.offset() + append.tokens().size()) {
            return null;
        }
        tokenLog.append(added);
        return new JournalEntry(
                this,
                newCount,
                ENTRY_OVERHEAD_BYTES + tokenLog.sizeBytes(),
                ends ? append.finishReason() : finishReason,
                append.callerAttached(),
                newExpiryDeadlineMillis);
    }

    /** Returns the epochs of this entry, oldest first. */
    public List<EpochSpan> history() {
        return history;
    }

    /** Returns the epoch of the writer. */
    public long epoch() {
        return history.get(history.size() - 1).epoch();
    }

    /** Returns whether the writer has reported an attached caller. */
    public boolean callerAttached() {
        return callerAttached;
    }

    /** Returns the name of the writing router. */
    public String writer() {
        return writer;
    }

    public Binding binding() {
        return binding;
    }

    /** Returns the digest of the request's body. */
    public String bodyDigest() {
        return bodyDigest;
    }

    /** Returns a copy of the tokens. */
    public List<Token> tokens() {
        return tokenLog.first(tokenCount);
    }

    public int tokenCount() {
        return tokenCount;
    }

    /** Returns the reason why the answer ended, or null while it runs. */
    public @Nullable FinishReason finishReason() {
        return finishReason;
    }

    /** Returns the time, on the journal's clock, at which the entry may be dropped. */
    public long expiryDeadlineMillis() {
        return expiryDeadlineMillis;
    }

    /** Returns the estimated memory of this entry in bytes. */
    public long sizeBytes() {
        return sizeBytes;
    }
}
