package io.laburnummoor.gateway.version;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.GrantedLease;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.process.Supervisor;
import io.laburnummoor.gateway.process.DecisionLog;
import io.laburnummoor.gateway.process.GatewaySettings;
import io.laburnummoor.wire.process.PeriodicTask;

/**
 * Registers this router in the store, under a lease that expires when the process dies. A registration that was lost in
 * a restore of the store is written again at the next renewal.
 */
public final class RouterRegistration implements Service {
    /** Prefix of the keys. The rest of a key is the name of the router, and its value is the router's UDP address. */
    public static final String KEY_PREFIX = "laburnummoor/routers/";

    private static final long RENEWAL_MILLIS = 2_000;
    /** Two renewals may fail before the other routers remove this one. */
    private static final long LEASE_SECONDS = 6;

    private final KeyValueStore store;
    private final String key;
    private final String address;
    private final DecisionLog log;
    private final PeriodicTask renewal;
    private GrantedLease lease = GrantedLease.NONE;
    private boolean registered;

    public RouterRegistration(KeyValueStore store, GatewaySettings settings, DecisionLog log, Supervisor supervisor) {
        this.store = store;
        this.key = KEY_PREFIX + settings.name();
        this.address = settings.host() + ":" + settings.exchangePort();
        this.log = log;
        this.renewal = new PeriodicTask("registration", RENEWAL_MILLIS, supervisor, this::renew);
    }

    @Override
    public void start() {
        renewal.start();
    }

    @Override
    public void stop() {
        renewal.stop();
    }

    private void renew() {
        try {
            if (registered && lease.renew(store)) {
                return;
            }
            registered = register();
            log.line("router_registered")
                    .flag("registered", registered)
                    .number("lease", lease.id())
                    .number("store_era", lease.era())
                    .write();
        } catch (LaburnummoorException unavailable) {
            log.line("router_not_registered")
                    .text("error", unavailable.getMessage())
                    .write();
        }
    }

    private boolean register() {
        VersionedValue before = store.get(key);
        lease = GrantedLease.grant(store, LEASE_SECONDS);
        long expected = before == null ? KeyValueStore.ABSENT : before.version();
        boolean written = store.compareAndSwap(key, expected, address, lease.id()) != KeyValueStore.ABSENT;
        return written && lease.isCurrent(store);
    }
}
