package io.laburnummoor.router.connection;

import java.util.List;

import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.ConfigReplica;
import io.laburnummoor.core.version.ConfigState;
import io.laburnummoor.core.version.ConfigUpdate;
import io.laburnummoor.wire.generated.ConfigService;
import io.laburnummoor.wire.generated.ConfigStatus;
import io.laburnummoor.wire.generated.WireConfigUpdate;
import io.laburnummoor.wire.version.ConfigCodec;
import io.laburnummoor.wire.version.WireConfig;

/** Serves this router's configuration and its status to other routers and to operator commands. */
public final class ConfigHandler implements ConfigService.Iface {
    /** Name under which the service is registered. */
    public static final String SERVICE_NAME = "config";

    private final String routerName;
    private final String failureDomain;
    private final ConfigReplica replica;
    private final ConfigHolder holder;

    /** Creates the service of one router. */
    public ConfigHandler(String routerName, String failureDomain, ConfigReplica replica, ConfigHolder holder) {
        this.routerName = routerName;
        this.failureDomain = failureDomain;
        this.replica = replica;
        this.holder = holder;
    }

    @Override
    public WireConfigUpdate since(long revision) {
        // A set that is not in force yet has not been confirmed by two failure domains, so it must not count as a
        // confirmation for other routers.
        boolean inForce = holder.current().revision() > 0;
        return WireConfig.encode(inForce ? replica.updateSince(revision) : new ConfigUpdate(0, List.of(), null));
    }

    @Override
    public ConfigStatus status() {
        ConfigState state = replica.state();
        return new ConfigStatus(
                routerName, failureDomain, holder.current().revision(), state.digest(), ConfigCodec.SCHEMA_VERSIONS);
    }
}
