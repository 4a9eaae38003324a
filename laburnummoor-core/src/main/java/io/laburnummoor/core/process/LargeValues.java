package io.laburnummoor.core.process;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;

/**
 * Splits texts that exceed the store's limit per value. The parts are written before the text that refers to them,
 * under a prefix that no other writer uses for a different text, so a reader that sees the reference finds all parts.
 */
final class LargeValues {
    /** The store accepts 1 MB per value; a character takes up to 3 bytes in the base64 of its messages. */
    static final int MAX_PART_CHARS = 250_000;

    private static final String REFERENCE = "parts:";

    private final KeyValueStore store;

    LargeValues(KeyValueStore store) {
        this.store = store;
    }

    /** Returns the text itself if it is small, otherwise a reference to its parts after writing them. */
    String store(String prefix, String text) {
        if (text.length() <= MAX_PART_CHARS) {
            return text;
        }
        int count = (text.length() + MAX_PART_CHARS - 1) / MAX_PART_CHARS;
        for (int i = 0; i < count; i++) {
            int end = Math.min(text.length(), (i + 1) * MAX_PART_CHARS);
            store.compareAndSwap(prefix + "/" + i, KeyValueStore.ABSENT, text.substring(i * MAX_PART_CHARS, end));
        }
        return REFERENCE + count + ":" + prefix;
    }

    /** Returns the text that {@link #store} was given. */
    String load(String stored) {
        if (!stored.startsWith(REFERENCE)) {
            return stored;
        }
        int separator = stored.indexOf(':', REFERENCE.length());
        int count = Integer.parseInt(stored.substring(REFERENCE.length(), separator));
        String prefix = stored.substring(separator + 1);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            VersionedValue part = store.get(prefix + "/" + i);
            if (part == null) {
                throw new LaburnummoorException(ErrorCode.INTERNAL, "part " + prefix + "/" + i + " does not exist");
            }
            text.append(part.value());
        }
        return text.toString();
    }
}
