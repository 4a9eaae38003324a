package io.laburnummoor.core.version;

/** Encodes configuration as texts for the key-value service. */
public interface ConfigTextCodec {
    /** Encodes a delta. */
    String encodeDelta(ConfigDelta delta);

    /**
     * Decodes a delta.
     *
     * @throws io.laburnummoor.core.LaburnummoorException with code {@code unreadable_format} if this process does not
     *     support the format of an entry
     */
    ConfigDelta decodeDelta(String text);

    /** Encodes a complete state. */
    String encodeState(ConfigState state);

    /** Decodes a complete state; throws like {@link #decodeDelta}. */
    ConfigState decodeState(String text);
}
