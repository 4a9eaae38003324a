package io.laburnummoor.core.process;

/**
 * A lease that the store granted to this process. A store that is restored from an older copy loses the latest leases
 * and grants their ids again, so a lease is renewed only in the era in which it was granted; immutable.
 *
 * @param id id of the lease, {@link KeyValueStore#NO_LEASE} if none was granted
 * @param era era of the store that granted it
 */
public record GrantedLease(long id, long era) {
    /** Stands for a lease that was never granted. */
    public static final GrantedLease NONE = new GrantedLease(KeyValueStore.NO_LEASE, 0);

    /** Grants a lease with the given time to live. */
    public static GrantedLease grant(KeyValueStore store, long timeToLiveSeconds) {
        long id = store.grantLease(timeToLiveSeconds);
        return new GrantedLease(id, store.era());
    }

    /** Returns whether the store is in the era of this lease, as far as it is known. */
    public boolean isCurrent(KeyValueStore store) {
        return id != KeyValueStore.NO_LEASE && store.era() == era;
    }

    /**
     * Renews the lease for its full time to live; returns false if it has expired or was lost. The response may be the
     * first one of a new era, which renewed a lease of another process.
     */
    public boolean renew(KeyValueStore store) {
        return isCurrent(store) && store.keepLeaseAlive(id) && isCurrent(store);
    }
}
