package io.laburnummoor.core.process;

/** Encodes a segment as the text that is stored. */
public interface SegmentCodec {
    /** Encodes a segment. */
    String encode(ClaimSegment segment);

    /** Decodes a segment. */
    ClaimSegment decode(String text);
}
