package io.laburnummoor.core.process;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.request.Binding;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.JournalEntry;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.request.Token;
import org.jspecify.annotations.Nullable;

/**
 * The second copy of running and recently finished answers, kept by an agent for routers in other failure domains.
 *
 * <p>Each entry has one writer at a time, told apart by its epoch. Entries are immutable and replaced atomically, so
 * that requests do not wait for each other. Memory is bounded: at the limit, expired entries are dropped first, then
 * the finished entries that expire soonest; a running entry is never dropped for a new one.
 */
public final class AnswerJournal {
    private final ConcurrentHashMap<RequestId, JournalEntry> entries = new ConcurrentHashMap<>();
    private final AtomicLong sizeBytes = new AtomicLong();
    private final long maxSizeBytes;
    private final long retentionMillis;
    private final Clock clock;

    /**
     * Creates an empty journal.
     *
     * @param maxSizeBytes bound on the memory of all entries
     * @param retentionMillis time that an entry is kept after its last change
     * @param clock monotonic clock
     */
    public AnswerJournal(long maxSizeBytes, long retentionMillis, Clock clock) {
        this.maxSizeBytes = maxSizeBytes;
        this.retentionMillis = retentionMillis;
        this.clock = clock;
    }

    /** Returns the entry of a request, or null if there is none. */
    public @Nullable JournalEntry find(RequestId id) {
        JournalEntry entry = entries.get(id);
        return entry == null || entry.expiryDeadlineMillis() <= clock.nowMillis() ? null : entry;
    }

    /**
     * Opens an entry for a writer with the given epoch, with the tokens that the writer knows. A writer that continues
     * an entry found here passes the tokens of that entry.
     *
     * @return false if the entry has an epoch at least as high from another writer, or the memory is full
     */
    public boolean open(
            RequestId id, long epoch, String writer, Binding binding, String bodyDigest, List<Token> tokens) {
        long nowMillis = clock.nowMillis();
        makeRoom(nowMillis);
        if (sizeBytes.get() > maxSizeBytes) {
            return false;
        }
        JournalEntry opened =
                JournalEntry.open(epoch, writer, binding, bodyDigest, tokens, nowMillis + retentionMillis);
        JournalEntry result = entries.compute(id, (key, old) -> {
            if (old != null && !old.yieldsTo(epoch, writer)) {
                return old;
            }
            addSize(old, opened);
            return opened;
        });
        return result == opened;
    }

    /**
     * Appends tokens at an offset. Tokens that the entry already holds are passed over, so a repeated append is
     * harmless.
     */
    public AppendResult append(RequestId id, long epoch, int offset, List<Token> tokens) {
        return update(id, epoch, entry -> entry.append(offset, tokens, clock.nowMillis() + retentionMillis));
    }

    /** Records the normal end of an answer with the given number of tokens. */
    public AppendResult finish(RequestId id, long epoch, int tokenCount, FinishReason reason) {
        return update(id, epoch, entry -> entry.finish(tokenCount, reason, clock.nowMillis() + retentionMillis));
    }

    /** Returns the number of entries. */
    public int size() {
        return entries.size();
    }

    /** Returns the estimated memory of all entries in bytes. */
    public long sizeBytes() {
        return sizeBytes.get();
    }

    /** Drops entries whose deadline has passed. */
    public void expire() {
        long nowMillis = clock.nowMillis();
        entries.forEach((id, entry) -> {
            if (entry.expiryDeadlineMillis() <= nowMillis) {
                remove(id, entry);
            }
        });
    }

    private AppendResult update(RequestId id, long epoch, EntryChange change) {
        AppendResult[] result = {AppendResult.MISSING};
        entries.computeIfPresent(id, (key, old) -> {
            if (old.epoch() != epoch) {
                result[0] = AppendResult.FENCED;
                return old;
            }
            JournalEntry changed = change.apply(old);
            if (changed == null) {
                return old;
            }
            result[0] = AppendResult.ACKNOWLEDGED;
            addSize(old, changed);
            return changed;
        });
        return result[0];
    }

    private void makeRoom(long nowMillis) {
        if (sizeBytes.get() <= maxSizeBytes) {
            return;
        }
        expire();
        entries.entrySet().stream()
                .filter(each -> each.getValue().finishReason() != null)
                .sorted(Comparator.comparingLong(each -> each.getValue().expiryDeadlineMillis()))
                .takeWhile(each -> sizeBytes.get() > maxSizeBytes)
                .forEach(each -> remove(each.getKey(), each.getValue()));
    }

    private void remove(RequestId id, JournalEntry entry) {
        if (entries.remove(id, entry)) {
            sizeBytes.addAndGet(-entry.sizeBytes());
        }
    }

    private void addSize(@Nullable JournalEntry old, JournalEntry changed) {
        sizeBytes.addAndGet(changed.sizeBytes() - (old == null ? 0 : old.sizeBytes()));
    }

    /** Outcome of a change to an entry. */
    public enum AppendResult {
        /** The change is kept. */
        ACKNOWLEDGED,
        /** Another writer has opened the entry with another epoch. */
        FENCED,
        /** There is no entry, or tokens before the offset are missing; the writer has to open it again. */
        MISSING
    }

    private interface EntryChange {
        @Nullable
        JournalEntry apply(JournalEntry entry);
    }
}
