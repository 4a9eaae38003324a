package io.laburnummoor.core.version;

import java.util.List;

/**
 * Difference between a revision and the previous one.
 *
 * @param revision revision that results from the delta
 * @param operationId id that the operator's command generated for this change
 * @param digest digest of all entries after the change
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
