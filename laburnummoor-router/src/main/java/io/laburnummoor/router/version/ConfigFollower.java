package io.laburnummoor.router.version;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.wire.process.PeriodicTask;
import io.laburnummoor.wire.version.ConfigCodec;
import org.jboss.logging.Logger;

/** Keeps the configuration in force up to date with the key-value service. */
public final class ConfigFollower implements Service {
    /** Key of the configuration set. */
    public static final String CONFIG_KEY = "config/set";

    private static final Logger LOGGER = Logger.getLogger(ConfigFollower.class);
    private static final long POLL_INTERVAL_MILLIS = 1_000;

    private final KeyValueStore store;
    private final ConfigHolder holder;
    private final ConfigCodec codec = new ConfigCodec();
    private final PeriodicTask task = new PeriodicTask("config", POLL_INTERVAL_MILLIS, this::refresh);

    /** Creates a follower that puts new sets into the holder. */
    public ConfigFollower(KeyValueStore store, ConfigHolder holder) {
        this.store = store;
        this.holder = holder;
    }

    @Override
    public void start() {
        refresh();
        task.start();
    }

    @Override
    public void stop() {
        task.stop();
    }

    private void refresh() {
        try {
            VersionedValue value = store.get(CONFIG_KEY);
            if (value != null && holder.accept(codec.decode(value.value()))) {
                LOGGER.infof(
                        "configuration revision %d is in force",
                        holder.current().revision());
            }
        } catch (LaburnummoorException failure) {
            LOGGER.warnf("configuration cannot be read, the last one stays in force: %s", failure.getMessage());
        }
    }
}
