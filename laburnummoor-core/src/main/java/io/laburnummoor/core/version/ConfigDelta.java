package io.laburnummoor.core.version;

import java.util.List;

/**
 * The difference between a revision and the one before it.
 *
 * @param revision revision that the delta leads to
 * @param operationId id that the operator's command chose for this change
 * @param digest digest of the whole set after the change
 * @param changed added and replaced entries
 * @param removedKeys keys of removed entries
 */
public record ConfigDelta(
        long revision, String operationId, String digest, List<ConfigEntry> changed, List<String> removedKeys) {
    /** Returns whether the delta changes nothing. */
    public boolean isEmpty() {
        return changed.isEmpty() && removedKeys.isEmpty();
    }
}
