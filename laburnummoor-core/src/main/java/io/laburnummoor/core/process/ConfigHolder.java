package io.laburnummoor.core.process;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.version.ConfigSet;

/**
 * Holds the active configuration of a router; a revision is only replaced by a higher one. Used by any thread; readers
 * take no lock.
 */
public final class ConfigHolder {
    private final Snapshot<ConfigSet> current = new Snapshot<>(ConfigSet.EMPTY);

    public ConfigSet current() {
        return current.get();
    }

    /** Activates a configuration if its revision is higher; returns whether it was activated. */
    public boolean accept(ConfigSet candidate) {
        ConfigSet before = current.update(old -> candidate.revision() > old.revision() ? candidate : old);
        return candidate.revision() > before.revision();
    }
}
