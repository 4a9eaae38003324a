package io.laburnummoor.core;

import org.jspecify.annotations.Nullable;

/**
 * Versions of a store that may be restored from an older copy. A restore starts a new era and issues revisions again,
 * so a revision alone identifies no state. A version holds the era in its upper bits and the revision in its lower
 * ones: versions of a later era are greater than those of all earlier ones, and in era 0 a version is the revision.
 */
public final class StoreVersion {
    /** A version has at most 18 decimal digits, which is the longest one that routers accept from each other. */
    public static final long MAX_ERA = (1L << 15) - 1;
    /** At ten thousand writes a second the revisions last for 55 years. */
    public static final long MAX_REVISION = (1L << 44) - 1;

    private static final int REVISION_BITS = 44;
    private static final String ERA_PATTERN = "[0-9]{1,5}";

    private StoreVersion() {}

    /** Returns the version of a revision; a revision that does not fit counts as the largest one. */
    public static long of(long era, long revision) {
        return era << REVISION_BITS | Math.min(MAX_REVISION, Math.max(0, revision));
    }

    /** Returns the era of a version. */
    public static long eraOf(long version) {
        return version >>> REVISION_BITS;
    }

    /** Returns the revision of a version. */
    public static long revisionOf(long version) {
        return version & MAX_REVISION;
    }

    /** Returns the era that a text states, or the given one if the text is missing or unreadable. */
    public static long parseEra(@Nullable String text, long otherwise) {
        String trimmed = text == null ? "" : text.trim();
        if (!trimmed.matches(ERA_PATTERN)) {
            return otherwise;
        }
        long era = Long.parseLong(trimmed);
        return era > MAX_ERA ? otherwise : era;
    }
}
