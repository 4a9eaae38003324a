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
public final class InstanceRegister {
    /** Entries that are removed later than this after the store's return belong to upstreams that leave. */
    static final long CATCH_UP_MILLIS = 500;
    /** Time after the store's return in which live upstreams that lapsed meanwhile are listed again. */
    static final long RELIST_MILLIS = 2_300;

    private final Listener listener;
    private final Map<String, InstanceState> instances = new HashMap<>();
    private final Map<String, Long> lapsedAtMillis = new HashMap<>();
    private boolean connected;
    private boolean everConnected;
    private long returnedAtMillis = Long.MIN_VALUE / 2;
    private long disturbedAtMillis = Long.MIN_VALUE / 2;

    /** Creates a register without entries, which takes the store as not reached yet. */
    public InstanceRegister(Listener listener) {
        this.listener = listener;
    }

    /** Records that the store answers; returns whether it did not before. */
    public boolean connected(long nowMillis) {
        boolean changed = !connected;
        // The first connection of a process is no return: nothing that it knows can have lapsed before.
        if (changed && everConnected) {
            returnedAtMillis = nowMillis;
        }
        connected = true;
        everConnected = true;
        return changed;
    }

    /** Records that the store failed or dropped its history; returns whether it worked before. */
    public boolean disturbed(long nowMillis) {
        boolean lost = connected;
        connected = false;
        disturbedAtMillis = nowMillis;
        lapsedAtMillis.keySet().stream()
                .map(instances::get)
                .filter(Objects::nonNull)
                .forEach(InstanceState::clearEnded);
        return lost;
    }

    /** Returns whether the store came back so short a time ago that upstreams may still be listed again. */
    public boolean isCatchingUp(long nowMillis) {
        return connected && nowMillis - returnedAtMillis < RELIST_MILLIS;
    }

    /** Takes an entry; returns whether the table has changed. */
    public boolean put(String key, UpstreamInstance read, long nowMillis) {
        lapsedAtMillis.remove(key);
        InstanceState known = instances.get(key);
        if (known != null && known.instance().isSameIncarnation(read)) {
            boolean nowLeaving = read.leaving() && !known.instance().leaving();
            known.update(read);
            known.clearEnded();
            if (nowLeaving) {
                listener.leaving(read);
            }
            return false;
        }
        endEarlierLife(read.address(), nowMillis);
        instances.put(key, new InstanceState(read));
        listener.listed(read);
        return true;
    }

    /** Ends the life whose address another one has now; its entry lapses only seconds after its crash. */
    private void endEarlierLife(String address, long nowMillis) {
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
        boolean disturbed = !connected || nowMillis - returnedAtMillis < CATCH_UP_MILLIS;
        if (disturbed && !known.instance().leaving()) {
            lapsedAtMillis.putIfAbsent(key, nowMillis);
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
    public boolean expire(long nowMillis) {
        if (!connected || lapsedAtMillis.isEmpty()) {
            return false;
        }
        boolean dropped = false;
        for (Map.Entry<String, Long> lapsed : Map.copyOf(lapsedAtMillis).entrySet()) {
            InstanceState known = instances.get(lapsed.getKey());
            long endMillis = Math.max(lapsed.getValue(), disturbedAtMillis) + RELIST_MILLIS;
            if (known != null && nowMillis > endMillis) {
                drop(lapsed.getKey(), known, "lapsed", nowMillis);
                dropped = true;
            } else if (known != null) {
                known.markEnded(endMillis);
            }
        }
        return dropped;
    }

    private void drop(String key, InstanceState known, String reason, long nowMillis) {
        instances.remove(key);
        lapsedAtMillis.remove(key);
        known.markEnded(nowMillis);
        listener.gone(known.instance(), reason);
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
        void gone(UpstreamInstance instance, String reason);
    }
}
