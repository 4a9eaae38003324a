package io.laburnummoor.core.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamInstance;

/**
 * Determines from the entries of the platform's list which upstreams are in use. An entry that is removed while the
 * store is available belongs to an upstream that leaves. One that expires while the store is unavailable may belong to
 * a live upstream, which stays in use until the store has been available again for {@link #RELISTING_MILLIS}. Used by
 * the gateway's store thread only.
 */
public final class InstanceRegistry {
    /**
     * Removals within this time after an outage of the store may be expired leases of live upstreams; later ones belong
     * to upstreams that leave.
     */
    static final long EXPIRY_WINDOW_MILLIS = 500;
    /** Time after an outage of the store in which live upstreams whose entry expired are listed again. */
    static final long RELISTING_MILLIS = 2_300;
    /**
     * Time after which a listed entry with a number that was seen before belongs to a live upstream, which renews it
     * without a change. The platform removes others after three heartbeat intervals of a second or so, and heartbeats
     * are executed up to 6 s late.
     */
    static final long PERSISTENCE_MILLIS = 20_000;

    private final Listener listener;
    private final AddressAssignment addresses;
    private final Map<String, InstanceState> instances = new HashMap<>();
    private final Map<String, Long> expiredAtMillis = new HashMap<>();
    private final IncarnationHistory history = new IncarnationHistory();
    /** Entries that are listed but not used, because they were written before others of their incarnations. */
    private final Map<String, LateEntry> lateEntries = new HashMap<>();

    private boolean storeAvailable;
    private boolean everAvailable;
    private long recoveredAtMillis = Long.MIN_VALUE / 2;
    private long lastUnavailableAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a registry without entries, for a store that has not been reached yet.
     *
     * @param isServiceKnown tells whether the configuration names a service
     */
    public InstanceRegistry(Predicate<String> isServiceKnown, Listener listener) {
        this.listener = listener;
        this.addresses = new AddressAssignment(isServiceKnown, listener);
    }

    /** Records that the store is available; returns whether it was not before. */
    public boolean recordStoreAvailable(long nowMillis) {
        boolean changed = !storeAvailable;
        // The first connection of a process does not end an outage: no entry that it knows can have expired before.
        if (changed && everAvailable) {
            recoveredAtMillis = nowMillis;
        }
        storeAvailable = true;
        everAvailable = true;
        return changed;
    }

    /** Records that the store failed or dropped its history; returns whether it was available before. */
    public boolean recordStoreUnavailable(long nowMillis) {
        boolean wasAvailable = storeAvailable;
        storeAvailable = false;
        lastUnavailableAtMillis = nowMillis;
        expiredAtMillis.keySet().stream()
                .map(instances::get)
                .filter(Objects::nonNull)
                .forEach(InstanceState::clearEnded);
        return wasAvailable;
    }

    /** Returns whether the last call of the store succeeded. */
    public boolean isStoreAvailable() {
        return storeAvailable;
    }

    /** Returns whether the store became available so recently that upstreams may still be listed again. */
    public boolean isCatchingUp(long nowMillis) {
        return storeAvailable && nowMillis - recoveredAtMillis < RELISTING_MILLIS;
    }

    /**
     * Adds or updates an entry; returns whether the table has changed. The entry of an incarnation that was dropped or
     * replaced lists it again only if its number is above those seen: any other one is a heartbeat that was executed
     * late, or belongs to a live upstream if it stays ({@link #listPersistent}).
     */
    public boolean put(String key, UpstreamInstance entry, long nowMillis) {
        InstanceState known = instances.get(key);
        if (known != null && known.instance().isSameIncarnation(entry)) {
            expiredAtMillis.remove(key);
            lateEntries.remove(key);
            updateListed(known, entry);
            return false;
        }
        if (history.hasSeen(entry)) {
            lateEntries.putIfAbsent(key, new LateEntry(entry, nowMillis));
            listener.outdated(entry);
            return false;
        }
        list(key, entry, nowMillis);
        return true;
    }

    private void updateListed(InstanceState known, UpstreamInstance entry) {
        boolean wasLeaving = known.instance().leaving();
        update(known, entry);
        if (!wasLeaving && known.instance().leaving()) {
            listener.leaving(entry);
        }
    }

    private void list(String key, UpstreamInstance entry, long nowMillis) {
        expiredAtMillis.remove(key);
        lateEntries.remove(key);
        InstanceState listed = stateOf(entry);
        InstanceState replaced = instances.put(key, listed);
        if (replaced != null) {
            // Requests that were about to be sent to its predecessor are withdrawn.
            replaced.markEnded(nowMillis);
            addresses.remove(replaced);
            history.add(replaced);
        }
        addresses.add(listed);
        listener.listed(entry);
    }

    /**
     * Updates the state of an incarnation. A heartbeat whose response was lost may be executed seconds later, after
     * others; such an entry shows that the upstream is listed, but it does not revoke what a later one announced.
     */
    private void update(InstanceState known, UpstreamInstance entry) {
        if (!known.update(entry)) {
            listener.outdated(entry);
        }
        known.clearEnded();
    }

    /** Returns the earlier state of an incarnation that is listed again, so that what it announced still holds. */
    private InstanceState stateOf(UpstreamInstance entry) {
        InstanceState previous = history.take(entry);
        if (previous == null) {
            return new InstanceState(entry);
        }
        update(previous, entry);
        return previous;
    }

    /** Handles the removal of an entry; returns whether the table has changed. */
    public boolean remove(String key, long nowMillis) {
        lateEntries.remove(key);
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

    /** Handles the removal of all entries that are missing from a complete read of the list. */
    public void retain(Set<String> keys, long nowMillis) {
        lateEntries.keySet().retainAll(keys);
        List.copyOf(instances.keySet()).stream()
                .filter(key -> !keys.contains(key))
                .forEach(key -> remove(key, nowMillis));
    }

    /**
     * Drops upstreams whose entry expired while the store was unavailable and was not listed again in time; returns
     * whether there were any. The other upstreams with an expired entry are marked to end at their deadline, so that
     * they get no requests after it even if the next call is late.
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

    /**
     * Lists the upstreams whose entry has stayed for {@link #PERSISTENCE_MILLIS} of a store that was available, though
     * its number had been seen before; returns whether there were any.
     */
    public boolean listPersistent(long nowMillis) {
        if (!storeAvailable || lateEntries.isEmpty()) {
            return false;
        }
        boolean listed = false;
        for (Map.Entry<String, LateEntry> late : Map.copyOf(lateEntries).entrySet()) {
            long sinceMillis = Math.max(late.getValue().listedAtMillis, lastUnavailableAtMillis);
            if (nowMillis - sinceMillis >= PERSISTENCE_MILLIS) {
                list(late.getKey(), late.getValue().entry, nowMillis);
                listed = true;
            }
        }
        return listed;
    }

    private void drop(String key, InstanceState known, String reason, long nowMillis) {
        instances.remove(key);
        expiredAtMillis.remove(key);
        known.markEnded(nowMillis);
        addresses.remove(known);
        history.add(known);
        listener.dropped(known.instance(), reason);
    }

    /** Returns a table of the upstreams in use. */
    public InstanceTable table() {
        return new InstanceTable(List.copyOf(instances.values()));
    }

    /** Receives changes of the registry. */
    public interface Listener {
        /** Called when an incarnation of an upstream is listed. */
        void listed(UpstreamInstance instance);

        /** Called when an upstream has announced that it leaves. */
        void leaving(UpstreamInstance instance);

        /** Called when a heartbeat is listed after a later one of the same incarnation. */
        void outdated(UpstreamInstance instance);

        /** Called when an incarnation gets no more requests because another one has its address. */
        void superseded(UpstreamInstance instance, UpstreamInstance holder);

        /** Called when an incarnation is no longer in use; the reason is the one that is logged. */
        void dropped(UpstreamInstance instance, String reason);
    }

    private record LateEntry(UpstreamInstance entry, long listedAtMillis) {}
}
