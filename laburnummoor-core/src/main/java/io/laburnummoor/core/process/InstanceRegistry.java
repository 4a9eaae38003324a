package io.laburnummoor.core.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamInstance;

/**
 * Decides from the entries of the platform's list which upstreams are in use. An entry that goes while the store works
 * belongs to an upstream that leaves; one that goes while the store is disturbed may belong to an upstream that lives,
 * and counts until the store has been back for a while. Used by one thread.
 */
public final class InstanceRegistry {
    /** Entries that are removed later than this after the store's return belong to upstreams that leave. */
    static final long EXPIRY_WINDOW_MILLIS = 500;
    /** Time after the store's return in which live upstreams that lapsed meanwhile are listed again. */
    static final long RELISTING_MILLIS = 2_300;

    private final Listener listener;
    private final Map<String, InstanceState> instances = new HashMap<>();
    private final Map<String, Long> expiredAtMillis = new HashMap<>();
    private boolean storeAvailable;
    private boolean everAvailable;
    private long recoveredAtMillis = Long.MIN_VALUE / 2;
    private long lastUnavailableAtMillis = Long.MIN_VALUE / 2;

    /** Creates a register without entries, which takes the store as not reached yet. */
    public InstanceRegistry(Listener listener) {
        this.listener = listener;
    }

    /** Records that the store answers; returns whether it did not before. */
    public boolean storeAvailable(long nowMillis) {
        boolean changed = !storeAvailable;
        // The first connection of a process is no return: nothing that it knows can have lapsed before.
        if (changed && everAvailable) {
            recoveredAtMillis = nowMillis;
        }
        storeAvailable = true;
        everAvailable = true;
        return changed;
    }

    /** Records that the store failed or dropped its history; returns whether it worked before. */
    public boolean storeUnavailable(long nowMillis) {
        boolean wasAvailable = storeAvailable;
        storeAvailable = false;
        lastUnavailableAtMillis = nowMillis;
        expiredAtMillis.keySet().stream()
                .map(instances::get)
                .filter(Objects::nonNull)
                .forEach(InstanceState::clearEnded);
        return wasAvailable;
    }

    /** Returns whether the store came back so short a time ago that upstreams may still be listed again. */
    public boolean isCatchingUp(long nowMillis) {
        return storeAvailable && nowMillis - recoveredAtMillis < RELISTING_MILLIS;
    }

    /** Takes an entry; returns whether the table has changed. */
    public boolean put(String key, UpstreamInstance entry, long nowMillis) {
        expiredAtMillis.remove(key);
        InstanceState known = instances.get(key);
        if (known != null && known.instance().isSameIncarnation(entry)) {
            boolean nowLeaving = entry.leaving() && !known.instance().leaving();
            known.update(entry);
            known.clearEnded();
            if (nowLeaving) {
                listener.leaving(entry);
            }
            return false;
        }
        endPreviousIncarnation(entry.address(), nowMillis);
        instances.put(key, new InstanceState(entry));
        listener.listed(entry);
        return true;
    }

    /** Ends the life whose address another one has now; its entry lapses only seconds after its crash. */
    private void endPreviousIncarnation(String address, long nowMillis) {
        for (InstanceState each : instances.values()) {
            if (each.instance().address().equals(address)) {
                each.markEnded(nowMillis);
            }
        }
    }

    /** Takes the removal of an entry; returns whether the table has changed. */
    public boolean remove(String key, long nowMillis) {
        InstanceState known = instances.get(key);
        if (known == null) {
            return false;
        }
        boolean mayHaveExpired = !storeAvailable || nowMillis - recoveredAtMillis < EXPIRY_WINDOW_MILLIS;
        if (mayHaveExpired && !known.instance().leaving()) {
            expiredAtMillis.putIfAbsent(key, nowMillis);
            return false;
        }
        drop(key, known, "unlisted", nowMillis);
        return true;
    }

    /** Takes it that a whole read of the list held just these entries. */
    public void retain(Set<String> keys, long nowMillis) {
        List.copyOf(instances.keySet()).stream()
                .filter(key -> !keys.contains(key))
                .forEach(key -> remove(key, nowMillis));
    }

    /**
     * Drops upstreams that lapsed while the store was disturbed and did not come back; returns whether any did. Those
     * whose time is not over yet get no work after it, however late the next call comes.
     */
    public boolean dropExpired(long nowMillis) {
        if (!storeAvailable || expiredAtMillis.isEmpty()) {
            return false;
        }
        boolean dropped = false;
        for (Map.Entry<String, Long> expired : Map.copyOf(expiredAtMillis).entrySet()) {
            InstanceState known = instances.get(expired.getKey());
            long endMillis = Math.max(expired.getValue(), lastUnavailableAtMillis) + RELISTING_MILLIS;
            if (known != null && nowMillis > endMillis) {
                drop(expired.getKey(), known, "lapsed", nowMillis);
                dropped = true;
            } else if (known != null) {
                known.markEnded(endMillis);
            }
        }
        return dropped;
    }

    private void drop(String key, InstanceState known, String reason, long nowMillis) {
        instances.remove(key);
        expiredAtMillis.remove(key);
        known.markEnded(nowMillis);
        listener.dropped(known.instance(), reason);
    }

    /** Returns the upstreams in use. */
    public InstanceTable table() {
        return new InstanceTable(List.copyOf(instances.values()));
    }

    /** Hears what changes. */
    public interface Listener {
        /** A life of an upstream is listed. */
        void listed(UpstreamInstance instance);

        /** An upstream has announced that it leaves. */
        void leaving(UpstreamInstance instance);

        /** A life is not in use any more. */
        void dropped(UpstreamInstance instance, String reason);
    }
}
