package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.Snapshot;
import org.jspecify.annotations.Nullable;

/**
 * Latest changes of the store's keys that a router has applied, kept for routers that read them from it instead of from
 * the store. Written by the store thread and read by the event loops without a lock.
 */
public final class RecentChanges {
    /** A router that is further behind reads the store itself. */
    static final int MAX_CHANGES = 512;

    private static final long UNKNOWN = -1;

    private final Snapshot<History> history = new Snapshot<>(new History(UNKNOWN, UNKNOWN, List.of()));

    /** Starts a new history at the store version of a complete read. */
    public void restart(long version) {
        history.replace(new History(version, version, List.of()));
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
     * @return the changes, or null if the history does not reach back to that version
     */
    public ChangeFeed.@Nullable Batch after(long version) {
        return history.get().after(version);
    }

    private record History(long start, long end, List<ChangeFeed.Change> changes) {
        History with(ChangeFeed.Batch batch) {
            List<ChangeFeed.Change> all = new ArrayList<>(changes);
            all.addAll(batch.changes());
            long from = start;
            int dropped = Math.max(0, all.size() - MAX_CHANGES);
            if (dropped > 0) {
                from = all.get(dropped - 1).version();
                all = all.subList(dropped, all.size());
            }
            return new History(from, Math.max(end, batch.version()), List.copyOf(all));
        }

        ChangeFeed.@Nullable Batch after(long version) {
            if (start == UNKNOWN || version < start) {
                return null;
            }
            List<ChangeFeed.Change> later =
                    changes.stream().filter(each -> each.version() > version).toList();
            return new ChangeFeed.Batch(later, Math.max(version, end));
        }
    }
}
