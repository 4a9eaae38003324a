package io.laburnummoor.gateway.connection;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
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

    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");
    private static final String STATUS_LINE_START = "HTTP/";
    private static final int STATUS_LINE_BYTES = "HTTP/1.1 200".length();

    private boolean headRequested;

    UpstreamResponseDecoder() {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /** Returns the end of a body, in which a status line may begin. */
    static String tailOf(ByteBuf body) {
        int length = Math.min(STATUS_LINE_BYTES - 1, body.readableBytes());
        return body.toString(body.writerIndex() - length, length, StandardCharsets.ISO_8859_1);
    }

    /** Returns whether a status line begins in the end of a body and continues in the bytes that are not decoded. */
    boolean continuesStatusLine(String bodyTail) {
        int length = Math.min(STATUS_LINE_BYTES - 1, actualReadableBytes());
        if (length == 0) {
            return false;
        }
        ByteBuf undecoded = internalBuffer();
        return containsStatusLine(
                bodyTail + undecoded.toString(undecoded.readerIndex(), length, StandardCharsets.ISO_8859_1));
    }

    /** Sets the method of the request whose response comes next; a response to HEAD has no body. */
    void expectResponseTo(HttpMethod method) {
        headRequested = HttpMethod.HEAD.equals(method);
    }

    /** Returns the number of bytes that have been received and are not decoded yet. */
    int undecodedByteCount() {
        return actualReadableBytes();
    }

    /** Rejects a status that HTTP does not define, also in forms that a number parser accepts, such as "+200". */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!STATUS.matcher(initialLine[1]).matches()) {
            throw new IllegalArgumentException("status is not between 100 and 599");
        }
        return super.createMessage(initialLine);
    }

    /** Rejects a response with two lengths: it is not known which one the upstream meant, nor where the next begins. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("length beside chunks");
    }

    /** Returns whether the body is sent as it is or in chunks; another coding would reach the caller undecoded. */
    static boolean isFramingSupported(HttpResponse response) {
        List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
    }

    /** Returns whether the message has no body whatever its headers say. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequested || super.isContentAlwaysEmpty(message);
    }

    /**
     * Returns whether the head contains a second status line: it then has the status of one response, and the id and
     * the signature of the next one.
     */
    static boolean isJoined(HttpResponse response) {
        return containsStatusLine(response.status().reasonPhrase()) || containsStatusLine(response.headers());
    }

    static boolean containsStatusLine(HttpHeaders headers) {
        for (Map.Entry<String, String> header : headers) {
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
