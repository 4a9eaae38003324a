package io.laburnummoor.gateway.connection;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * A connection to an upstream that carries one request at a time. Bytes received while no request is open close it,
 * also if they are no complete message: the next response would continue them. Confined to the event loop of its
 * channel.
 */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** A usual upstream sends one at the most; a faulty one may send them without end. */
    private static final int MAX_INFORMATIONAL_RESPONSES = 8;

    private final UpstreamPool pool;
    private final String key;
    private final UpstreamResponseDecoder decoder;
    private final UnsolicitedBytesListener unsolicitedBytesListener;
    private @Nullable Channel channel;
    private @Nullable UpstreamListener listener;
    private int requestCount;
    private boolean headReceived;
    private int informationalCount;
    private boolean skipping;
    private boolean lateResponseSkipped;
    private @Nullable String openRequestId;
    private final RecentRequestIds answeredRequestIds = new RecentRequestIds();
    private @Nullable ChannelFuture written;
    private boolean reusable;
    private boolean closeDelimited;
    private boolean bodySent;
    private boolean lengthDelimited;
    /** Last bytes of a body with a length, which may break off in the beginning of another response. */
    private String bodyTail = "";

    private boolean failed;
    /** Whether the upstream has kept the connection or responded; it resets one beyond its limit at once. */
    private boolean accepted;

    private boolean endedByUpstream;
    private long idleSinceMillis;
    private long idleLimitMillis;

    UpstreamConnection(
            UpstreamPool pool,
            String key,
            UpstreamResponseDecoder decoder,
            UnsolicitedBytesListener unsolicitedBytesListener) {
        this.pool = pool;
        this.key = key;
        this.decoder = decoder;
        this.unsolicitedBytesListener = unsolicitedBytesListener;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /**
     * Sends a request; the listener receives the response.
     *
     * @param requestId id that the response has, or null if it has none
     */
    public void send(FullHttpRequest request, @Nullable String requestId, UpstreamListener answerListener) {
        Channel target = channel;
        listener = answerListener;
        requestCount++;
        headReceived = false;
        informationalCount = 0;
        skipping = false;
        lateResponseSkipped = false;
        openRequestId = requestId;
        reusable = false;
        closeDelimited = false;
        bodySent = request.content().isReadable();
        bodyTail = "";
        decoder.expectResponseTo(request.method());
        if (target == null || !target.isActive()) {
            ReferenceCountUtil.release(request);
            fail("connection is closed");
            return;
        }
        written = target.writeAndFlush(request).addListener((ChannelFutureListener) done -> {
            if (!done.isSuccess()) {
                recordEnd(done.cause());
                fail("write failed");
                target.close();
            }
        });
    }

    /** Cancels the open request by resetting the connection, so that the upstream stops processing it. */
    public void cancel() {
        listener = null;
        reset();
    }

    /**
     * Skips the response whose head has just been received if it is a second one to a request that was answered on this
     * connection before, and returns whether it does. Only a response whose end is known can be skipped, and only one
     * for each request; the connection is not used again.
     *
     * @param requestId id of the response, or null if it has none
     */
    public boolean skipLateResponse(@Nullable String requestId) {
        if (!answeredRequestIds.contains(requestId) || closeDelimited || lateResponseSkipped) {
            return false;
        }
        skipping = true;
        lateResponseSkipped = true;
        headReceived = false;
        return true;
    }

    /** Pauses or resumes reading from the upstream. */
    public void setAutoRead(boolean reading) {
        Channel target = channel;
        if (target != null) {
            target.config().setAutoRead(reading);
        }
    }

    /** Sets the idle time after which the connection is closed, at most {@link UpstreamPool#MAX_IDLE_MILLIS}. */
    public void setIdleLimit(long limitMillis) {
        idleLimitMillis = Math.min(limitMillis, UpstreamPool.MAX_IDLE_MILLIS);
    }

    /** Returns the idle connection to its pool. */
    public void returnToPool() {
        idleSinceMillis = pool.nowMillis();
        pool.release(this);
    }

    /** Returns the number of requests that were sent on this connection. */
    public int requestCount() {
        return requestCount;
    }

    boolean isAwaitingResponse() {
        return listener != null;
    }

    boolean isOpen() {
        Channel target = channel;
        return target != null && target.isActive() && !failed;
    }

    /**
     * Reads what has arrived on the idle connection, since the event loop may not have come to it, and returns whether
     * it is still open. Must not be called while the channel is being read.
     */
    boolean isOpenAfterRead() {
        if (channel != null && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return isOpen();
    }

    /** Called some time after the connection was established; reads first, since a reset may not have been seen yet. */
    void recordKept() {
        Channel target = channel;
        accepted |= target != null && target.config().isAutoRead() ? isOpenAfterRead() : isOpen();
    }

    /**
     * Returns whether the upstream ended the connection after it had accepted it, as happens when its process ends. A
     * connection that is reset as soon as it is established may only be one too many.
     */
    public boolean wasEndedAfterAcceptance() {
        return accepted && endedByUpstream;
    }

    boolean isUsable(long nowMillis) {
        return isOpen() && nowMillis - idleSinceMillis < idleLimitMillis;
    }

    /** Returns whether a request with that id was answered on this connection, so that a second response may come. */
    public boolean hasAnswered(@Nullable String requestId) {
        return requestId != null && answeredRequestIds.contains(requestId);
    }

    void close() {
        Channel target = channel;
        if (target != null) {
            target.close();
        }
    }

    /**
     * Closes the connection and drops bytes that the upstream has not received. After an ordinary close they would
     * still be delivered, and the upstream would run a request that nobody waits for.
     */
    private void reset() {
        Channel target = channel;
        if (target != null && target.isOpen()) {
            target.config().setOption(ChannelOption.SO_LINGER, 0);
            target.close();
        }
    }

    String key() {
        return key;
    }

    /** Closes the connection because of bytes that belong to no open request. */
    void onUnsolicitedBytes(int byteCount) {
        failed = true;
        unsolicitedBytesListener.onUnsolicitedBytes(key, byteCount, requestCount);
        close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            read(message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        if (listener == null) {
            failed = true;
            close();
            return;
        }
        if (message instanceof HttpResponse response) {
            readHead(response);
        }
        if (message instanceof HttpContent content && listener != null) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse response) {
        accepted = true;
        if (response.decoderResult().isFailure()) {
            fail("bytes are no answer");
            return;
        }
        if (!UpstreamResponseDecoder.isFramingSupported(response)) {
            fail("transfer coding is not supported");
            return;
        }
        if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            fail("switch to another protocol");
            return;
        }
        if (requestCount > 1 && UpstreamResponseDecoder.isJoined(response)) {
            fail("head is joined from two answers");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            informationalCount++;
            skipping = true;
            if (informationalCount > MAX_INFORMATIONAL_RESPONSES) {
                fail("too many informational responses");
            }
            return;
        }
        if (headReceived) {
            fail("second answer");
            return;
        }
        headReceived = true;
        closeDelimited = !HttpUtil.isTransferEncodingChunked(response)
                && !HttpUtil.isContentLengthSet(response)
                && !decoder.isContentAlwaysEmpty(response);
        if (closeDelimited && bodySent && channel != null) {
            channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        }
        lengthDelimited = HttpUtil.isContentLengthSet(response);
        reusable = !closeDelimited && HttpUtil.isKeepAlive(response);
        UpstreamListener current = listener;
        if (current != null) {
            current.onHead(response);
        }
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail("body is malformed");
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            if (last && UpstreamResponseDecoder.containsStatusLine(((LastHttpContent) content).trailingHeaders())) {
                fail("trailers are joined with an answer");
            }
            return;
        }
        UpstreamListener current = listener;
        ByteBuf bytes = content.content();
        if (current != null && bytes.isReadable()) {
            bodyTail = lengthDelimited ? UpstreamResponseDecoder.tailOf(bytes) : "";
            current.onContent(bytes);
        }
        if (last && closeDelimited && !isClosedInOrder()) {
            fail("connection did not end in order");
        } else if (last && closeDelimited && bodySent && channel != null) {
            ResetCheck.schedule(channel, reset -> onResetChecked(current, reset));
        } else if (last) {
            complete();
        }
    }

    private void onResetChecked(@Nullable UpstreamListener checked, boolean reset) {
        if (listener == checked && reset) {
            fail("connection was reset after its end");
        } else if (listener == checked) {
            complete();
        }
    }

    /**
     * Returns whether a response that ends with its connection is complete: the upstream has closed it without an error
     * and has had the whole request. An event loop that stops closes its connections, too.
     */
    private boolean isClosedInOrder() {
        Channel target = channel;
        return !failed
                && isRequestWritten()
                && target != null
                && !target.eventLoop().isShuttingDown();
    }

    private void complete() {
        UpstreamListener current = listener;
        if (current == null) {
            return;
        }
        if (decoder.continuesStatusLine(bodyTail)) {
            fail("body breaks off in another answer");
            return;
        }
        listener = null;
        answeredRequestIds.add(openRequestId);
        current.onComplete();
        int undecodedBytes = decoder.undecodedByteCount();
        if (undecodedBytes > 0) {
            onUnsolicitedBytes(undecodedBytes);
        } else if (reusable && !failed && !lateResponseSkipped && isRequestWritten()) {
            setAutoRead(true);
            returnToPool();
        } else {
            close();
        }
    }

    /** An upstream may answer before it has read the request; the next one must not follow an unwritten body. */
    private boolean isRequestWritten() {
        return written != null && written.isDone();
    }

    private void recordEnd(Throwable cause) {
        endedByUpstream |= !failed && cause instanceof IOException;
    }

    private void fail(String cause) {
        endedByUpstream |= !failed && channel != null && !channel.isActive();
        failed = true;
        UpstreamListener current = listener;
        listener = null;
        reset();
        if (current != null) {
            current.onFailure(cause);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.remove(this);
        fail("connection ended");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        recordEnd(cause);
        fail("connection failed: " + cause.getClass().getSimpleName());
    }
}
