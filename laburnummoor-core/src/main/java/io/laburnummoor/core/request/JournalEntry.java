package io.laburnummoor.core.request;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The journaled state of one answer; immutable.
 *
 * <p>Token lists share one backing store between successive entries of the same writer: an append adds behind the
 * part that older entries see, so that a long answer is not copied for each token.
 */
public final class JournalEntry {
    private static final long ENTRY_OVERHEAD_BYTES = 400;

    private final long epoch;
    private final String writer;
    private final Binding binding;
    private final String bodyDigest;
    private final TokenLog backing;
    private final int tokenCount;
    private final long sizeBytes;
    private final @Nullable FinishReason finishReason;
    private final long expiryDeadlineMillis;

    private JournalEntry(
            JournalEntry from,
            int tokenCount,
            long sizeBytes,
            @Nullable FinishReason finishReason,
            long expiryDeadlineMillis) {
        this.epoch = from.epoch;
        this.writer = from.writer;
        this.binding = from.binding;
        this.bodyDigest = from.bodyDigest;
        this.backing = from.backing;
        this.tokenCount = tokenCount;
        this.sizeBytes = sizeBytes;
        this.finishReason = finishReason;
        this.expiryDeadlineMillis = expiryDeadlineMillis;
    }

    private JournalEntry(
            long epoch,
            String writer,
            Binding binding,
            String bodyDigest,
            List<Token> tokens,
            long expiryDeadlineMillis) {
        this.epoch = epoch;
        this.writer = writer;
        this.binding = binding;
        this.bodyDigest = bodyDigest;
        this.backing = new TokenLog();
        backing.append(tokens);
        this.tokenCount = tokens.size();
        this.sizeBytes = ENTRY_OVERHEAD_BYTES + backing.sizeBytes();
        this.finishReason = null;
        this.expiryDeadlineMillis = expiryDeadlineMillis;
    }

    /** Returns a running entry of a writer. */
    public static JournalEntry open(
            long epoch,
            String writer,
            Binding binding,
            String bodyDigest,
            List<Token> tokens,
            long expiryDeadlineMillis) {
        return new JournalEntry(epoch, writer, binding, bodyDigest, tokens, expiryDeadlineMillis);
    }

    /** Returns whether a writer with the given epoch may replace this entry. */
    public boolean yieldsTo(long newEpoch, String newWriter) {
        return newEpoch > epoch || (newEpoch == epoch && newWriter.equals(writer));
    }

    /** Returns this entry with tokens appended at an offset, or null if tokens before the offset are missing. */
    public @Nullable JournalEntry append(int offset, List<Token> tokens, long newExpiryDeadlineMillis) {
        if (offset > tokenCount) {
            return null;
        }
        int knownCount = Math.min(tokenCount - offset, tokens.size());
        List<Token> added = tokens.subList(knownCount, tokens.size());
        backing.append(added);
        return new JournalEntry(
                this,
                tokenCount + added.size(),
                ENTRY_OVERHEAD_BYTES + backing.sizeBytes(),
                finishReason,
                newExpiryDeadlineMillis);
    }

    /** Returns this entry with its end recorded, or null if tokens are missing. */
    public @Nullable JournalEntry finish(int finalCount, FinishReason reason, long newExpiryDeadlineMillis) {
        return finalCount == tokenCount
                ? new JournalEntry(this, tokenCount, sizeBytes, reason, newExpiryDeadlineMillis)
                : null;
    }

    /** Returns the epoch of the writer. */
    public long epoch() {
        return epoch;
    }

    /** Returns the name of the writing router. */
    public String writer() {
        return writer;
    }

    /** Returns what the answer is bound to. */
    public Binding binding() {
        return binding;
    }

    /** Returns the digest of the request's body. */
    public String bodyDigest() {
        return bodyDigest;
    }

    /** Returns a copy of the tokens. */
    public List<Token> tokens() {
        return backing.first(tokenCount);
    }

    /** Returns the number of tokens. */
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
