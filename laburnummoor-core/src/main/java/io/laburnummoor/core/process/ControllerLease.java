package io.laburnummoor.core.process;

import io.laburnummoor.core.process.KeyValueStore.VersionedValue;

/**
 * The lease that makes one router the controller of rollouts, and its fencing token. Used by the thread that advances
 * rollouts; only {@link #holderName()} may be called by others.
 *
 * <p>The lease only reduces contention between routers. A holder that was paused is fenced by the compare-and-swap of
 * each step and by the fencing token of each order. A holder whose lease was lost in a restore of the store holds it no
 * longer as soon as a response states the new era; it is renewed far more often than its time to live.
 */
public final class ControllerLease {
    /** Key of the controller's name; it expires with the lease. */
    public static final String LEASE_KEY = "rollouts/lease";
    /** Key of the current fencing token; it never expires and its value only increases. */
    public static final String FENCING_TOKEN_KEY = "rollouts/fence";

    private static final long TIME_TO_LIVE_SECONDS = 10;

    private final KeyValueStore store;
    private final String routerName;
    private GrantedLease lease = GrantedLease.NONE;
    private long fencingToken;
    private boolean held;
    private volatile String holderName = "";

    /** Creates a lease that the router does not hold yet. */
    public ControllerLease(KeyValueStore store, String routerName) {
        this.store = store;
        this.routerName = routerName;
    }

    /**
     * Renews the lease, or acquires it if no router holds it.
     *
     * @return whether this router is the controller
     * @throws io.laburnummoor.core.LaburnummoorException with code {@code store_unavailable} if that is unknown
     */
    public boolean renewOrAcquire() {
        if (held) {
            held = lease.renew(store);
        }
        if (!held) {
            held = acquire();
        }
        return held;
    }

    /** Returns the name of the last known holder, empty if none is known. */
    public String holderName() {
        return holderName;
    }

    /** Returns the fencing token of this router's term as controller; each term has a higher one. */
    public long fencingToken() {
        return fencingToken;
    }

    private boolean acquire() {
        VersionedValue current = store.get(LEASE_KEY);
        holderName = current == null
                ? ""
                : current.value().substring(0, current.value().lastIndexOf(' '));
        if (current == null || removeOwnOfFormerEra(current)) {
            lease = GrantedLease.grant(store, TIME_TO_LIVE_SECONDS);
            if (store.compareAndSwap(LEASE_KEY, KeyValueStore.ABSENT, leaseValue(), lease.id())
                    == KeyValueStore.ABSENT) {
                return false;
            }
        } else if (lease.id() == KeyValueStore.NO_LEASE || !current.value().equals(leaseValue())) {
            return false;
        }
        // Also reached if the reply to this router's own compare-and-swap was lost: the lease id identifies its write.
        return lease.renew(store) && incrementFencingToken();
    }

    /**
     * Removes this router's own key of a former era. It may be bound to the lease of another process that was given the
     * same id, and would then stay for as long as that process runs.
     */
    private boolean removeOwnOfFormerEra(VersionedValue current) {
        return lease.id() != KeyValueStore.NO_LEASE
                && !lease.isCurrent(store)
                && current.value().equals(leaseValue())
                && store.delete(LEASE_KEY, current.version());
    }

    private boolean incrementFencingToken() {
        VersionedValue before = store.get(FENCING_TOKEN_KEY);
        // A restored store may hold an older token than the one that this router had.
        long next = Math.max(fencingToken, before == null ? 0 : Long.parseLong(before.value())) + 1;
        long expected = before == null ? KeyValueStore.ABSENT : before.version();
        if (store.compareAndSwap(FENCING_TOKEN_KEY, expected, Long.toString(next)) == KeyValueStore.ABSENT) {
            return false;
        }
        fencingToken = next;
        return true;
    }

    private String leaseValue() {
        return routerName + " " + lease.id();
    }
}
