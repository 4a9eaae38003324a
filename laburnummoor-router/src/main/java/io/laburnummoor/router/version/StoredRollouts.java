package io.laburnummoor.router.version;

import java.util.List;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.process.DeclaredRollouts;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.version.RolloutDeclaration;
import io.laburnummoor.wire.process.PeriodicTask;
import io.laburnummoor.wire.version.RolloutDeclarationsJson;
import org.jboss.logging.Logger;

/** Reads the declared rollouts from a key of the key-value service. */
public final class StoredRollouts implements DeclaredRollouts, Service {
    /** Key of the list of declared rollouts. */
    public static final String KEY = "rollouts/declared";

    private static final Logger LOGGER = Logger.getLogger(StoredRollouts.class);
    private static final long POLL_INTERVAL_MILLIS = 5_000;

    private final KeyValueStore store;
    private final Snapshot<List<RolloutDeclaration>> declared = new Snapshot<>(List.of());
    private final PeriodicTask task = new PeriodicTask("declared-rollouts", POLL_INTERVAL_MILLIS, this::read);

    /** Creates a source without rollouts. */
    public StoredRollouts(KeyValueStore store) {
        this.store = store;
    }

    @Override
    public List<RolloutDeclaration> current() {
        return declared.get();
    }

    @Override
    public void start() {
        task.start();
    }

    @Override
    public void stop() {
        task.stop();
    }

    private void read() {
        try {
            VersionedValue value = store.get(KEY);
            declared.replace(value == null ? List.of() : RolloutDeclarationsJson.decode(value.value()));
        } catch (LaburnummoorException failure) {
            LOGGER.warnf("declared rollouts cannot be read, the last ones stay: %s", failure.getMessage());
        }
    }
}
