package io.laburnummoor.wire.request;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.nio.StreamChannel;
import org.apache.hc.core5.http.nio.entity.AbstractBinAsyncEntityProducer;
import org.jspecify.annotations.Nullable;

/** Writes the body of a call and tells whether it has been written completely. */
final class RequestBody extends AbstractBinAsyncEntityProducer {
    private final ByteBuffer bytes;
    private final int length;
    private volatile boolean written;

    private RequestBody(byte[] body, ContentType contentType) {
        super(0, contentType);
        this.bytes = ByteBuffer.wrap(body);
        this.length = body.length;
    }

    /** Returns the body of a call, or null if it has none. */
    static @Nullable RequestBody of(PlainRequest request) {
        if (request.body().length == 0) {
            return null;
        }
        String contentType = request.headers().get("Content-Type");
        return new RequestBody(
                request.body(),
                contentType == null ? ContentType.APPLICATION_OCTET_STREAM : ContentType.parseLenient(contentType));
    }

    boolean isWritten() {
        return written;
    }

    @Override
    public long getContentLength() {
        return length;
    }

    @Override
    public boolean isRepeatable() {
        return false;
    }

    @Override
    protected int availableData() {
        return bytes.remaining();
    }

    @Override
    protected void produceData(StreamChannel<ByteBuffer> channel) throws IOException {
        channel.write(bytes);
        if (!bytes.hasRemaining()) {
            written = true;
            channel.endStream();
        }
    }

    @Override
    public void failed(Exception cause) {
        // The client reports the failure to the listener of the call.
    }
}
