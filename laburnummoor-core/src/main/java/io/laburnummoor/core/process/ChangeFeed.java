package io.laburnummoor.core.process;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Changes of the platform's key-value service in order. Every method blocks and may throw a
 * {@code LaburnummoorException} with code {@code store_unavailable}.
 */
public interface ChangeFeed {
    /** Returns all keys with a prefix and the store's version from which to go on. */
    Batch readAll(String prefix);

    /**
     * Returns the changes after a version as soon as there is one, or an empty batch after the wait.
     *
     * @return the changes, or null if the store has forgotten the history after that version
     */
    @Nullable
    Batch changesAfter(String prefix, long version, long waitMillis);

    /**
     * Changes up to a version.
     *
     * @param changes changes in order
     * @param version the store's version that they lead to
     */
    record Batch(List<Change> changes, long version) {}

    /**
     * The new state of one key.
     *
     * @param key name of the key
     * @param value new value, or null if the key was removed
     * @param version version of this change
     */
    record Change(String key, @Nullable String value, long version) {}
}
