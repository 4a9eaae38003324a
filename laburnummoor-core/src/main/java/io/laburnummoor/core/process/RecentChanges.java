package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.StoreVersion;
import org.jspecify.annotations.Nullable;

/**
 * Latest changes of the store's keys that a router has applied, kept for routers that read them from it instead of from
 * the store. Bounded in number and in size, since a single value may have a megabyte. Written by the store thread and
 * read by the event loops without a lock.
 */
public final class RecentChanges {
    /** A router that is further behind reads the store itself. */
    static final int MAX_CHANGES = 512;
    /** Limit on the characters of all keys and values; one character takes one or two bytes of the heap. */
    static final long MAX_CHARACTERS = 4L << 20;

    private static final long UNKNOWN = -1;

    private final Snapshot<History> history = new Snapshot<>(History.startingAt(UNKNOWN));

    /** Starts a new history at the store version of a complete read. */
    public void restart(long version) {
        history.replace(History.startingAt(version));
    }

    /** Forgets the history, because the store's version is no longer known. */
    public void clear() {
        restart(UNKNOWN);
    }

    /** Appends the changes up to the batch's version. */
    public void append(ChangeFeed.Batch batch) {
        history.update(before -> before.with(batch));
    }

    /**
     * Returns the changes after a store version; empty if the router knows none.
     *
     * @return the changes, or null if the history does not reach back to that version or has another era
     */
    public ChangeFeed.@Nullable Batch after(long version) {
        return history.get().after(version);
    }

    private record History(long start, long end, long characters, List<ChangeFeed.Change> changes) {
        static History startingAt(long version) {
            return new History(version, version, 0, List.of());
        }

        History with(ChangeFeed.Batch batch) {
            List<ChangeFeed.Change> all = new ArrayList<>(changes);
            all.addAll(batch.changes());
            long kept = characters
                    + batch.changes().stream().mapToLong(History::charactersOf).sum();
            long from = start;
            int dropped = 0;
            while (all.size() - dropped > MAX_CHANGES || kept > MAX_CHARACTERS) {
                ChangeFeed.Change oldest = all.get(dropped);
                from = oldest.version();
                kept -= charactersOf(oldest);
                dropped++;
            }
            return new History(
                    from, Math.max(end, batch.version()), kept, List.copyOf(all.subList(dropped, all.size())));
        }

        private static long charactersOf(ChangeFeed.Change change) {
            String value = change.value();
            return change.key().length() + (value == null ? 0 : value.length());
        }

        ChangeFeed.@Nullable Batch after(long version) {
            boolean sameEra = StoreVersion.eraOf(version) == StoreVersion.eraOf(end);
            if (start == UNKNOWN || version < start || !sameEra) {
                return null;
            }
            List<ChangeFeed.Change> later =
                    changes.stream().filter(each -> each.version() > version).toList();
            return new ChangeFeed.Batch(later, Math.max(version, end));
        }
    }
}
