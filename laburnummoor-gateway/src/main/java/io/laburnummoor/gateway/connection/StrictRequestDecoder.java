package io.laburnummoor.gateway.connection;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

/**
 * Decodes callers' requests and detects heads whose body length two HTTP implementations could interpret differently,
 * which would allow request smuggling.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private final int maxHeaderBytes;
    private boolean betweenRequests = true;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setAllowDuplicateContentLengths(false)
                .setValidateHeaders(true));
        this.maxHeaderBytes = maxHeaderBytes;
    }

    int maxHeaderBytes() {
        return maxHeaderBytes;
    }

    /** Returns whether no part of a request has been received after the last complete one. */
    boolean isBetweenRequests() {
        return betweenRequests && actualReadableBytes() == 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        int sizeBefore = out.size();
        int indexBefore = in.readerIndex();
        super.decode(context, in, out);
        if (out.size() > sizeBefore) {
            betweenRequests = out.get(out.size() - 1) instanceof LastHttpContent;
        } else if (in.readerIndex() != indexBefore) {
            betweenRequests = false;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        message.setDecoderResult(DecoderResult.failure(new CorruptedFrameException("length and transfer encoding")));
        super.handleTransferEncodingChunkedWithContentLength(message);
    }

    /** Returns the status that refuses the request because of its head, or null if its body may be read. */
    static @Nullable HttpResponseStatus refusalOf(HttpRequest request, int maxBodyBytes) {
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
            return tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST;
        }
        if (hasAmbiguousLength(request)) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        return HttpUtil.getContentLength(request, -1L) > maxBodyBytes
                ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                : null;
    }

    /** Returns whether the length of the request's body is ambiguous. */
    private static boolean hasAmbiguousLength(HttpRequest request) {
        List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean onlyChunked = encodings.size() == 1
                && HttpHeaderValues.CHUNKED
                        .toString()
                        .equalsIgnoreCase(encodings.get(0).trim());
        boolean unknownEncoding = !encodings.isEmpty() && !onlyChunked;
        boolean oldVersion = !encodings.isEmpty() && !HttpVersion.HTTP_1_1.equals(request.protocolVersion());
        return unknownEncoding || oldVersion;
    }
}
