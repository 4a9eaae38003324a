package io.laburnummoor.core.version;

/** Encodes configuration as the texts that the key-value service holds. */
public interface ConfigTextCodec {
    /** Returns the text of a delta. */
    String encodeDelta(ConfigDelta delta);

    /**
     * Returns the delta of a text.
     *
     * @throws io.laburnummoor.core.LaburnummoorException with code {@code unreadable_format} if this process does not
     *     know the format of an entry
     */
    ConfigDelta decodeDelta(String text);

    /** Returns the text of a whole set. */
    String encodeState(ConfigState state);

    /** Returns the set of a text; fails like {@link #decodeDelta}. */
    ConfigState decodeState(String text);
}
