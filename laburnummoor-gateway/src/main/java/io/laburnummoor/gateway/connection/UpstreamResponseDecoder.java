package io.laburnummoor.gateway.connection;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of an upstream, one for each request, and detects heads that are joined from two responses.
 * Confined to the event loop of its channel.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** The start of a status line, which no reason phrase or header value of a sound response contains. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] [0-9]{3}");

    private static final String STATUS_LINE_START = "HTTP/";

    private boolean headRequested;

    UpstreamResponseDecoder() {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /** Sets the method of the request whose response comes next; a response to HEAD has no body. */
    void expectResponseTo(HttpMethod method) {
        headRequested = HttpMethod.HEAD.equals(method);
    }

    /** Returns the number of bytes that have been received and are not decoded yet. */
    int undecodedByteCount() {
        return actualReadableBytes();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequested || super.isContentAlwaysEmpty(message);
    }

    /**
     * Returns whether the head contains a second status line: it then has the status of one response, and the id and
     * the signature of the next one.
     */
    static boolean isJoined(HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(STATUS_LINE_START) && STATUS_LINE.matcher(text).find();
    }
}
