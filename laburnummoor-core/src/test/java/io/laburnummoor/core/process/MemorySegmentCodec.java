package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

/** An in-memory codec whose texts grow by 100 characters per record, so that core tests need no JSON. */
final class MemorySegmentCodec implements SegmentCodec {
    private static final int RECORD_CHARS = 100;

    private final List<ClaimSegment> segments = new ArrayList<>();

    @Override
    public String encode(ClaimSegment segment) {
        segments.add(segment);
        return (segments.size() - 1) + "#"
                + "x".repeat(RECORD_CHARS * segment.records().size());
    }

    @Override
    public ClaimSegment decode(String text) {
        return segments.get(Integer.parseInt(text.substring(0, text.indexOf('#'))));
    }
}
