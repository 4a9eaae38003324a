package io.laburnummoor.core.process;

/** Encoding of a segment as the text of a value. */
public interface SegmentCodec {
    /** Returns the text of a segment. */
    String encode(ClaimSegment segment);

    /** Returns the segment of a text. */
    ClaimSegment decode(String text);
}
