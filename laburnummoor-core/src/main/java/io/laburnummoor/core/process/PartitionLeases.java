package io.laburnummoor.core.process;

import java.util.concurrent.ConcurrentHashMap;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;

/**
 * Determines which router writes each partition. A lease only reduces contention: if two routers both assume that they
 * hold a partition, the compare-and-swap on its segment rejects the stale writer.
 *
 * <p>One lease covers all partitions of a router and is renewed only while the router holds one. Used by any thread;
 * calls that need the store run one at a time.
 */
public final class PartitionLeases {
    /** Time to live of a lease. */
    public static final long TIME_TO_LIVE_SECONDS = 6;
    /** Interval at which a holder renews its lease. */
    public static final long RENEWAL_INTERVAL_MILLIS = 2_000;

    private static final long TIME_TO_LIVE_MILLIS = TIME_TO_LIVE_SECONDS * 1_000;

    private final KeyValueStore store;
    private final String routerName;
    private final Clock clock;
    private final ConcurrentHashMap<Integer, Long> heldKeyVersions = new ConcurrentHashMap<>();
    private long leaseId = KeyValueStore.NO_LEASE;
    private volatile long leaseDeadlineMillis;

    /** Creates the leases of a router; the clock is monotonic. */
    public PartitionLeases(KeyValueStore store, String routerName, Clock clock) {
        this.store = store;
        this.routerName = routerName;
        this.clock = clock;
    }

    /**
     * Acquires a partition if it is free or may be taken over.
     *
     * @param takeOver whether the requesting router could not reach the current holder
     * @return name of the holder, which is this router if it acquired the partition
     */
    public String acquire(int partition, boolean takeOver) {
        return isHeld(partition) ? routerName : acquireFromStore(partition, takeOver);
    }

    /** Returns whether this router assumes that it holds a partition. */
    public boolean isHeld(int partition) {
        return heldKeyVersions.containsKey(partition) && clock.nowMillis() < leaseDeadlineMillis;
    }

    private synchronized String acquireFromStore(int partition, boolean takeOver) {
        if (isHeld(partition)) {
            return routerName;
        }
        ensureLease();
        String key = key(partition);
        VersionedValue stored = store.get(key);
        if (stored != null && !stored.value().equals(routerName) && !takeOver) {
            return stored.value();
        }
        long version = store.compareAndSwap(
                key, stored == null ? KeyValueStore.ABSENT : stored.version(), routerName, leaseId);
        if (version == KeyValueStore.ABSENT) {
            VersionedValue winner = store.get(key);
            return winner == null ? routerName : winner.value();
        }
        heldKeyVersions.put(partition, version);
        return routerName;
    }

    /** Renews the lease if this router holds a partition; if the lease has expired, no partition is held any more. */
    public synchronized void renew() {
        if (heldKeyVersions.isEmpty()) {
            return;
        }
        long startedAtMillis = clock.nowMillis();
        if (store.keepLeaseAlive(leaseId)) {
            leaseDeadlineMillis = startedAtMillis + TIME_TO_LIVE_MILLIS;
        } else {
            heldKeyVersions.clear();
            leaseId = KeyValueStore.NO_LEASE;
        }
    }

    /** Marks a partition as no longer held, after another router has written to it. */
    public void markLost(int partition) {
        heldKeyVersions.remove(partition);
    }

    /** Releases all partitions, so that other routers need not wait for the lease to expire. */
    public synchronized void releaseAll() {
        heldKeyVersions.forEach((partition, version) -> {
            try {
                store.delete(key(partition), version);
            } catch (LaburnummoorException unavailable) {
                if (unavailable.errorCode() != ErrorCode.STORE_UNAVAILABLE) {
                    throw unavailable;
                }
            }
        });
        heldKeyVersions.clear();
    }

    /** Returns the number of partitions that this router assumes to hold. */
    public int heldCount() {
        return heldKeyVersions.size();
    }

    private void ensureLease() {
        long startedAtMillis = clock.nowMillis();
        if (leaseId == KeyValueStore.NO_LEASE || startedAtMillis >= leaseDeadlineMillis) {
            heldKeyVersions.clear();
            leaseId = store.grantLease(TIME_TO_LIVE_SECONDS);
            leaseDeadlineMillis = startedAtMillis + TIME_TO_LIVE_MILLIS;
        }
    }

    private static String key(int partition) {
        return "claims/" + partition + "/holder";
    }
}
