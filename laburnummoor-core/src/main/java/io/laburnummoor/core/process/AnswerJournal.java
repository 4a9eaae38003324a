package io.laburnummoor.core.process;

import java.util.Comparator;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.request.JournalAppend;
import io.laburnummoor.core.request.JournalEntry;
import io.laburnummoor.core.request.JournalOpenRequest;
import io.laburnummoor.core.request.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * Backup copies of running and recently finished answers, kept by an agent for routers in other failure domains. The
 * agent's worker threads call all methods concurrently; a periodic task calls {@link #expire()}.
 *
 * <p>Each entry has one writer at a time, identified by its epoch. Entries are immutable and replaced atomically, so
 * that requests do not block each other. Memory is bounded: at the limit, expired entries are evicted first, then the
 * finished entries that expire soonest; a running entry is never evicted for a new one.
 */
public final class AnswerJournal {
    /**
     * Time since an entry's last change after which its writer counts as dead; a live writer renews it every second.
     */
    static final long WRITER_TIMEOUT_MILLIS = 2_000;

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
     * Returns whether the writer has changed or renewed the entry recently. The router's heartbeats do not count,
     * because a router that was restarted under the same name no longer writes the entry.
     */
    public boolean isWriterAlive(JournalEntry entry) {
        return clock.nowMillis() < entry.expiryDeadlineMillis() - retentionMillis + WRITER_TIMEOUT_MILLIS;
    }

    /**
     * Opens an entry with the complete state known to its writer.
     *
     * @return false if the existing entry has a higher epoch, or has the same epoch and is finished or holds more
     *     tokens, or if the memory limit is reached
     */
    public boolean open(JournalOpenRequest opening) {
        long nowMillis = clock.nowMillis();
        evictToLimit();
        if (sizeBytes.get() > maxSizeBytes) {
            return false;
        }
        JournalEntry opened = JournalEntry.open(opening, nowMillis + retentionMillis);
        JournalEntry current = entries.compute(opening.id(), (key, old) -> {
            if (old != null
                    && !old.canBeReplacedBy(opening.epoch(), opening.tokens().size())) {
                return old;
            }
            addSize(old, opened);
            return opened;
        });
        return current == opened;
    }

    /**
     * Makes another router the writer of an entry and returns the entry. From then on appends of the previous writer
     * are rejected, so the returned tokens include everything that it has delivered. A finished entry keeps its writer.
     *
     * @return the entry, with the given epoch if the takeover took effect, or null if there is none
     */
    public @Nullable JournalEntry takeOver(RequestId id, long epoch, String writer) {
        long nowMillis = clock.nowMillis();
        return entries.computeIfPresent(id, (key, old) -> {
            if (old.expiryDeadlineMillis() <= nowMillis) {
                addSize(old, null);
                return null;
            }
            if (old.finishReason() != null || old.epoch() >= epoch) {
                return old;
            }
            JournalEntry taken = old.takeOver(id, epoch, writer, nowMillis + retentionMillis);
            addSize(old, taken);
            return taken;
        });
    }

    /**
     * Appends tokens, and the finish reason if there is one, at an offset. Tokens that the entry already holds are
     * skipped, so an append may be repeated.
     */
    public AppendResult append(JournalAppend append) {
        AppendResult[] result = {AppendResult.MISSING};
        entries.computeIfPresent(append.id(), (key, old) -> {
            if (old.epoch() > append.epoch()) {
                result[0] = AppendResult.FENCED;
                return old;
            }
            JournalEntry changed =
                    old.epoch() < append.epoch() ? null : old.append(append, clock.nowMillis() + retentionMillis);
            if (changed == null) {
                return old;
            }
            result[0] = AppendResult.ACKNOWLEDGED;
            addSize(old, changed);
            return changed;
        });
        return result[0];
    }

    /** Returns the number of entries. */
    public int size() {
        return entries.size();
    }

    /** Returns the estimated memory of all entries in bytes. */
    public long sizeBytes() {
        return sizeBytes.get();
    }

    /** Removes entries whose expiry deadline has passed. */
    public void expire() {
        long nowMillis = clock.nowMillis();
        entries.forEach((id, entry) -> {
            if (entry.expiryDeadlineMillis() <= nowMillis) {
                remove(id, entry);
            }
        });
    }

    private void evictToLimit() {
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

    private void addSize(@Nullable JournalEntry old, @Nullable JournalEntry changed) {
        sizeBytes.addAndGet((changed == null ? 0 : changed.sizeBytes()) - (old == null ? 0 : old.sizeBytes()));
    }

    /** Outcome of an append. */
    public enum AppendResult {
        /** The entry holds the appended tokens. */
        ACKNOWLEDGED,
        /** Another writer has opened the entry with a higher epoch. */
        FENCED,
        /**
         * There is no entry of the writer's epoch, or tokens before the offset are missing; the writer has to open it
         * again.
         */
        MISSING
    }
}
