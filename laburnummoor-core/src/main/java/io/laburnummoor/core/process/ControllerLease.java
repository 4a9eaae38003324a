package io.laburnummoor.core.process;

import io.laburnummoor.core.process.KeyValueStore.VersionedValue;

/**
 * The lease that makes one router the controller of rollouts, and its fencing token. Used by the thread that advances
 * rollouts; only {@link #holderName()} may be called by others.
 *
 * <p>The lease only reduces contention between routers. A holder that was paused is fenced by the compare-and-swap of
 * each step and by the fencing token of each order.
 */
public final class ControllerLease {
    /** Key of the controller's name; it expires with the lease. */
    public static final String LEASE_KEY = "rollouts/lease";
    /** Key of the current fencing token; it never expires and its value only increases. */
    public static final String FENCING_TOKEN_KEY = "rollouts/fence";

    private static final long TIME_TO_LIVE_SECONDS = 10;

    private final KeyValueStore store;
    private final String routerName;
    private long leaseId = KeyValueStore.NO_LEASE;
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
            held = store.keepLeaseAlive(leaseId);
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
        if (current == null) {
            leaseId = store.grantLease(TIME_TO_LIVE_SECONDS);
            if (store.compareAndSwap(LEASE_KEY, KeyValueStore.ABSENT, leaseValue(), leaseId) == KeyValueStore.ABSENT) {
                return false;
            }
        } else if (leaseId == KeyValueStore.NO_LEASE || !current.value().equals(leaseValue())) {
            return false;
        }
        // Also reached if the reply to this router's own compare-and-swap was lost: the lease id identifies its write.
        return store.keepLeaseAlive(leaseId) && incrementFencingToken();
    }

    private boolean incrementFencingToken() {
        VersionedValue before = store.get(FENCING_TOKEN_KEY);
        long next = before == null ? 1 : Long.parseLong(before.value()) + 1;
        long expected = before == null ? KeyValueStore.ABSENT : before.version();
        if (store.compareAndSwap(FENCING_TOKEN_KEY, expected, Long.toString(next)) == KeyValueStore.ABSENT) {
            return false;
        }
        fencingToken = next;
        return true;
    }

    private String leaseValue() {
        return routerName + " " + leaseId;
    }
}
