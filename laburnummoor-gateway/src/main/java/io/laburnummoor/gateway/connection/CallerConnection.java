package io.laburnummoor.gateway.connection;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.laburnummoor.core.process.GuardedTask;
import io.laburnummoor.core.version.CallerLimits;
import io.laburnummoor.gateway.process.GatewayContext;
import io.laburnummoor.gateway.request.CallerRequestHead;
import io.laburnummoor.gateway.request.ForwardSession;
import io.laburnummoor.gateway.request.LocalReply;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * A connection from a caller. Buffers each request completely, handles pipelined requests one at a time, and starts a
 * session for each. Confined to the event loop of its channel.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Interval of the checks for overdue requests and idle connections. */
    private static final long TIMEOUT_CHECK_MILLIS = 1_000;
    /** Error code of a fault within the gateway. */
    private static final String FAULT = "internal";

    private final GatewayContext gateway;
    private final UpstreamPool pool;
    private final WriteProgress writeProgress = new WriteProgress();
    private final PipelinedMessages pipelined;
    private @Nullable ScheduledFuture<?> timeoutTimer;
    /** Request that has not arrived completely. */
    private @Nullable HeldRequest incoming;
    /** Complete request whose response is not queued yet. */
    private @Nullable HeldRequest open;

    private @Nullable CallerResponse response;
    private @Nullable ForwardSession session;
    private long idleSinceMillis;
    private long partialHeadSinceMillis = -1;
    private boolean bytesReceived;
    private boolean closing;

    CallerConnection(GatewayContext gateway, UpstreamPool pool) {
        this.gateway = gateway;
        this.pool = pool;
        this.pipelined = new PipelinedMessages(gateway.state().requestBudget());
    }

    /** Records that bytes have arrived, before the decoder processes them; the first ones start the header timeout. */
    void onBytesReceived() {
        bytesReceived = true;
        if (incoming == null && response == null && partialHeadSinceMillis < 0) {
            partialHeadSinceMillis = now();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        idleSinceMillis = now();
        timeoutTimer = context.executor()
                .scheduleWithFixedDelay(
                        new GuardedTask(() -> checkTimeouts(context), fault -> exceptionCaught(context, fault)),
                        TIMEOUT_CHECK_MILLIS,
                        TIMEOUT_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        releaseAll();
        disconnectSession();
        endExchange();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        CallerResponse current = response;
        boolean broken = cause instanceof IOException;
        boolean answerDue = !broken && !closing && (current == null ? incoming != null : !current.hasStarted());
        LocalReply reply = session == null
                ? LocalReply.notRun(FAULT, RequestAdmission.RETRY_AFTER_MILLIS)
                : LocalReply.upstreamLost(FAULT);
        if (!broken || current != null) {
            gateway.log()
                    .line("caller_connection_fault")
                    .text("request", current == null ? null : current.requestId())
                    .text("error", cause.toString())
                    .number("status", answerDue ? reply.status() : 0)
                    .write();
        }
        if (answerDue) {
            new GuardedTask(() -> answerFault(context, reply), fault -> context.close()).run();
        } else if (!broken && current != null && current.hasEnded()) {
            // The response is complete and may still be on its way; the connection closes after it.
            closing = true;
        } else {
            context.close();
        }
    }

    /** Ends the request that failed within the gateway with an answer that tells whether it may have run. */
    private void answerFault(ChannelHandlerContext context, LocalReply reply) {
        releaseIncoming();
        disconnectSession();
        CallerResponse exchange = response == null ? openExchange(context, CallerRequestHead.UNKNOWN, false) : response;
        exchange.closeAfterResponse();
        exchange.sendLocalReply(reply);
    }

    private void disconnectSession() {
        ForwardSession current = session;
        session = null;
        if (current != null) {
            current.onCallerDisconnected();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (session != null) {
            session.onWritabilityChanged(context.channel().isWritable());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (response != null) {
            pipelined.add(message);
            if (pipelined.isFull()) {
                context.channel().config().setAutoRead(false);
            }
        } else {
            handle(context, message);
        }
    }

    /**
     * Reads everything that has arrived on the connection, unless reading is paused, and returns whether it is still
     * open. Must not be called while the channel is being read.
     */
    boolean isOpenAfterRead(Channel channel) {
        // A read stops at the first partly filled buffer, and the close may lie behind a pipelined request.
        do {
            bytesReceived = false;
            if (channel.isActive()
                    && channel.config().isAutoRead()
                    && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
                socket.read();
            }
        } while (bytesReceived);
        return channel.isActive();
    }

    private void handle(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpRequest request) {
                beginRequest(context, request);
            }
            if (message instanceof HttpContent content && incoming != null) {
                appendBody(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void beginRequest(ChannelHandlerContext context, HttpRequest request) {
        partialHeadSinceMillis = -1;
        HttpResponseStatus refusal =
                StrictRequestDecoder.refusalOf(request, gateway.state().limits().bodyBytes());
        if (refusal != null) {
            refuseUnreadable(context, refusal);
            return;
        }
        HeldRequest begun = new HeldRequest(gateway.state().requestBudget(), request, now());
        incoming = begun;
        if (!begun.reserveHead()) {
            refuseOverBudget(context);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void appendBody(ChannelHandlerContext context, HttpContent content) {
        HeldRequest request = incoming;
        if (request == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            refuseUnreadable(context, HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (request.bodyBytes() + content.content().readableBytes()
                > gateway.state().limits().bodyBytes()) {
            refuseUnreadable(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (!request.append(content.content())) {
            refuseOverBudget(context);
        } else if (content instanceof LastHttpContent) {
            dispatch(context, request);
        }
    }

    private void dispatch(ChannelHandlerContext context, HeldRequest request) {
        CallerRequestHead caller =
                gateway.headerCodec().decodeCallerRequest(request.head().headers());
        request.complete();
        incoming = null;
        open = request;
        CallerResponse exchange = openExchange(context, caller, HttpUtil.isKeepAlive(request.head()));
        // Runs after the channel has been read, since the session reads it again before each send.
        execute(context, () -> admit(context, request, caller, exchange));
    }

    private CallerResponse openExchange(ChannelHandlerContext context, CallerRequestHead caller, boolean keepAlive) {
        CallerResponse exchange = new CallerResponse(this, context, gateway, caller, keepAlive);
        response = exchange;
        gateway.state().requestOpened();
        return exchange;
    }

    /** Runs a task on the event loop, which would only print a fault of it. */
    void execute(ChannelHandlerContext context, Runnable task) {
        context.executor().execute(new GuardedTask(task, fault -> exceptionCaught(context, fault)));
    }

    private void admit(
            ChannelHandlerContext context, HeldRequest request, CallerRequestHead caller, CallerResponse exchange) {
        ForwardSession newSession = admission(context).admit(request, caller, exchange);
        if (newSession == null) {
            return;
        }
        if (request.isReleased()) {
            newSession.onCallerDisconnected();
            return;
        }
        session = newSession;
        newSession.start();
    }

    private RequestAdmission admission(ChannelHandlerContext context) {
        return new RequestAdmission(gateway, context.channel().eventLoop(), pool);
    }

    /** Refuses a request that has not arrived completely, since the memory for requests is used up. */
    private void refuseOverBudget(ChannelHandlerContext context) {
        HeldRequest refused = incoming;
        CallerRequestHead caller = refused == null
                ? CallerRequestHead.UNKNOWN
                : gateway.headerCodec().decodeCallerRequest(refused.head().headers());
        releaseIncoming();
        CallerResponse exchange = openExchange(context, caller, false);
        admission(context).refuseUnread(caller.attemptId(), exchange);
    }

    /** Rejects a request that cannot be read completely and closes the connection. */
    private void refuseUnreadable(ChannelHandlerContext context, HttpResponseStatus status) {
        closing = true;
        releaseIncoming();
        writeProgress.start(now());
        FullHttpResponse refusal = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        refusal.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
        gateway.log().line("request_unreadable").number("status", status.code()).write();
        context.writeAndFlush(refusal).addListener(written -> closeLingering(context));
    }

    /** Called when the last part of a response is queued for writing. */
    void onResponseQueued(boolean keepOpen) {
        closing |= !keepOpen;
        releaseOpen();
        writeProgress.start(now());
    }

    /** Called when the last part of a response has been written or cannot be; continues with pipelined requests. */
    void onExchangeEnded(ChannelHandlerContext context, CallerResponse ended) {
        if (response != ended) {
            return;
        }
        session = null;
        if (closing) {
            closeLingering(context);
        }
        endExchange();
        idleSinceMillis = now();
        handlePipelined(context);
        if (!pipelined.isFull()) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void handlePipelined(ChannelHandlerContext context) {
        while (response == null && !closing) {
            Object message = pipelined.poll();
            if (message != null) {
                handle(context, message);
            } else if (pipelined.hasOverflowed()) {
                refuseOverBudget(context);
            } else {
                return;
            }
        }
    }

    /** Ends the open request with its final response, since the process is about to end. */
    void endOpenRequest() {
        if (session != null) {
            session.onProcessEnding();
        }
    }

    /** Counts the request as closed, once its response is written or its caller has gone. */
    private void endExchange() {
        releaseOpen();
        if (response != null) {
            response = null;
            gateway.state().requestClosed();
        }
    }

    private void checkTimeouts(ChannelHandlerContext context) {
        CallerLimits limits = gateway.state().limits();
        if (closing || response != null) {
            closeIfNotRead(context, response, limits);
            return;
        }
        long now = now();
        boolean headLate = partialHeadSinceMillis >= 0 && now - partialHeadSinceMillis > limits.headerTimeoutMillis();
        boolean bodyLate = incoming != null && now - incoming.arrivedAtMillis() > limits.idleTimeoutMillis();
        boolean idle = incoming == null && partialHeadSinceMillis < 0;
        if (headLate || bodyLate) {
            refuseUnreadable(context, HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (idle && (gateway.state().isDraining() || now - idleSinceMillis > limits.idleTimeoutMillis())) {
            closing = true;
            context.close();
        }
    }

    private void closeIfNotRead(ChannelHandlerContext context, @Nullable CallerResponse current, CallerLimits limits) {
        boolean queued = current == null || current.hasEnded();
        if (queued && writeProgress.idleMillis(context.channel(), now()) > limits.idleTimeoutMillis()) {
            gateway.log().line("caller_does_not_read").write();
            context.close();
        }
    }

    /** Closes the connection after its last response has been written. */
    private void closeLingering(ChannelHandlerContext context) {
        releaseAll();
        LingeringClose.start(context, gateway);
    }

    private void releaseAll() {
        if (timeoutTimer != null) {
            timeoutTimer.cancel(false);
        }
        pipelined.release();
        releaseIncoming();
    }

    private void releaseIncoming() {
        if (incoming != null) {
            incoming.release();
            incoming = null;
        }
    }

    private void releaseOpen() {
        if (open != null) {
            open.release();
            open = null;
        }
    }

    private long now() {
        return gateway.clock().nowMillis();
    }
}
