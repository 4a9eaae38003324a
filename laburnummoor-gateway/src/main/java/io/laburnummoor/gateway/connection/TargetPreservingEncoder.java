package io.laburnummoor.gateway.connection;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * Encodes requests with the bytes of the target that the caller sent. The decoder reads each byte as one character, and
 * Netty's encoder would write those over 0x7f as two.
 */
final class TargetPreservingEncoder extends HttpRequestEncoder {
    private static final String LINE_END = "\r\n";

    @Override
    protected void encodeInitialLine(ByteBuf out, HttpRequest request) {
        String line = request.method() + " " + request.uri() + " " + request.protocolVersion() + LINE_END;
        out.writeCharSequence(line, StandardCharsets.ISO_8859_1);
    }
}
