package io.laburnummoor.core.process;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Ordered changes of the store's keys, read by the gateway's store thread. All versions state the era of the store, as
 * {@link io.laburnummoor.core.StoreVersion} describes.
 *
 * <p>Every method blocks and may throw a {@code LaburnummoorException} with code {@code store_unavailable}.
 */
public interface ChangeFeed {
    /** Returns all keys with a prefix and the store version from which {@link #changesAfter} continues. */
    Batch readAll(String prefix);

    /**
     * Waits for changes after a version; returns an empty batch if there is none within the given time.
     *
     * @return the changes, or null if the store no longer holds the history after that version, as after a restore,
     *     which starts a new era
     */
    @Nullable
    Batch changesAfter(String prefix, long version, long waitMillis);

    /**
     * A batch of changes.
     *
     * @param changes changes in order
     * @param version store version after the changes
     * @param currentAtOffsetMillis time from the start of the call to a moment at which no later change existed;
     *     negative if another router had read the changes before the call
     */
    record Batch(List<Change> changes, long version, long currentAtOffsetMillis) {
        /** Creates a batch that was current when the call started. */
        public Batch(List<Change> changes, long version) {
            this(changes, version, 0);
        }

        /** Returns whether the batch was read from another router. */
        public boolean isRelayed() {
            return currentAtOffsetMillis < 0;
        }
    }

    /**
     * The new state of one key.
     *
     * @param key name of the key
     * @param value new value, or null if the key was removed
     * @param version version of this change
     */
    record Change(String key, @Nullable String value, long version) {}
}
