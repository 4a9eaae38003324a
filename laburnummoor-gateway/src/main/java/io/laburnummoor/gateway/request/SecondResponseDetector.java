package io.laburnummoor.gateway.request;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/**
 * Detects a body that holds a second response to the same request, which an upstream writes after its first one broke
 * off: with the length of the first one, or with none, both together look like one whole response.
 */
final class SecondResponseDetector {
    private static final ByteBuf STATUS_LINE_START =
            Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer("HTTP/".getBytes(StandardCharsets.US_ASCII)));
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] [0-9]{3}");
    /** The id stands in the head, of which an upstream's may have this size. */
    private static final int MAX_HEAD_BYTES = 8_192;

    private static final int MAX_CANDIDATES = 16;

    private SecondResponseDetector() {}

    static boolean isIn(ByteBuf body, String requestId) {
        ByteBuf rest = body.duplicate();
        for (int i = 0; i < MAX_CANDIDATES; i++) {
            int start = ByteBufUtil.indexOf(STATUS_LINE_START.duplicate(), rest);
            if (start < 0) {
                return false;
            }
            rest.readerIndex(start);
            String head =
                    rest.toString(start, Math.min(MAX_HEAD_BYTES, rest.readableBytes()), StandardCharsets.ISO_8859_1);
            if (STATUS_LINE.matcher(head).lookingAt() && head.contains(requestId)) {
                return true;
            }
            rest.skipBytes(1);
        }
        return false;
    }
}
