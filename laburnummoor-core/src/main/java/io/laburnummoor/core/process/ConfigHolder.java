package io.laburnummoor.core.process;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.version.ConfigSet;

/** Holds the configuration in force; a revision is only ever replaced by a higher one. */
public final class ConfigHolder {
    private final Snapshot<ConfigSet> current = new Snapshot<>(ConfigSet.EMPTY);

    /** Returns the set in force. */
    public ConfigSet current() {
        return current.get();
    }

    /** Puts a set in force unless its revision is not higher; returns whether it is in force now. */
    public boolean accept(ConfigSet candidate) {
        ConfigSet before = current.update(old -> candidate.revision() > old.revision() ? candidate : old);
        return candidate.revision() > before.revision();
    }
}
