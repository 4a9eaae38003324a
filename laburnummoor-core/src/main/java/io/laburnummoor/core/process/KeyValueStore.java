package io.laburnummoor.core.process;

import org.jspecify.annotations.Nullable;

/**
 * The platform's key-value service, called the store.
 *
 * <p>Every method blocks and may throw a {@code LaburnummoorException} with code {@code store_unavailable}. After such
 * an exception from a write it is unknown whether the write took effect; callers find out by reading.
 */
public interface KeyValueStore {
    /** Version of a key that does not exist. */
    long ABSENT = 0;
    /** Lease id of a key without a lease. */
    long NO_LEASE = 0;

    /**
     * Returns the era that the store was in at its latest response; it increases each time the store is restored from
     * an older copy. A store that is never restored stays in era 0.
     */
    default long era() {
        return 0;
    }

    /** Returns the value of a key, or null if it does not exist. */
    @Nullable
    VersionedValue get(String key);

    /**
     * Replaces the value of a key if its version is the expected one ({@link #ABSENT} to create it). A version of a
     * former era of the store never matches.
     *
     * @return the new version, or {@link #ABSENT} if the version did not match
     */
    default long compareAndSwap(String key, long expectedVersion, String value) {
        return compareAndSwap(key, expectedVersion, value, NO_LEASE);
    }

    /**
     * Like {@link #compareAndSwap(String, long, String)}, for a key that is deleted when the given lease expires;
     * {@link #NO_LEASE} for a key without a lease.
     */
    long compareAndSwap(String key, long expectedVersion, String value, long leaseId);

    /** Grants a lease that expires after the given time unless it is kept alive, and returns its id. */
    long grantLease(long timeToLiveSeconds);

    /** Renews a lease for its full time to live; returns false if the lease has expired. */
    boolean keepLeaseAlive(long leaseId);

    /** Deletes a key if its version is the expected one; returns whether it was deleted. */
    boolean delete(String key, long expectedVersion);

    /**
     * Waits until the version of a key differs from the known one or the timeout passes.
     *
     * @return the value, or null if the key does not exist or did not change
     */
    @Nullable
    VersionedValue watch(String key, long knownVersion, long timeoutMillis);

    /**
     * A value and its version.
     *
     * @param value text of at most 1 MB
     * @param version number that increases with each write of the key, also across a restore of the store
     */
    record VersionedValue(String value, long version) {}
}
