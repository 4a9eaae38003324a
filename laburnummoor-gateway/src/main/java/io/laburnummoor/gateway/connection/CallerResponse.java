package io.laburnummoor.gateway.connection;

import java.nio.charset.StandardCharsets;

import io.laburnummoor.core.process.GuardedTask;
import io.laburnummoor.gateway.process.GatewayContext;
import io.laburnummoor.gateway.request.CallerExchange;
import io.laburnummoor.gateway.request.CallerRequestHead;
import io.laburnummoor.gateway.request.LocalReply;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

/** Writes the response to one request on a caller's connection. Confined to the event loop of that connection. */
final class CallerResponse implements CallerExchange {
    private final CallerConnection connection;
    private final ChannelHandlerContext context;
    private final GatewayContext gateway;
    private final CallerRequestHead caller;
    private boolean keepAlive;
    private boolean started;
    private boolean ended;

    CallerResponse(
            CallerConnection connection,
            ChannelHandlerContext context,
            GatewayContext gateway,
            CallerRequestHead caller,
            boolean keepAlive) {
        this.connection = connection;
        this.context = context;
        this.gateway = gateway;
        this.caller = caller;
        this.keepAlive = keepAlive;
    }

    @Override
    public Runnable guarded(Runnable task) {
        return new GuardedTask(task, this::onFault);
    }

    private void onFault(Throwable fault) {
        if (ended) {
            gateway.log()
                    .line("caller_connection_fault")
                    .text("request", requestId())
                    .text("error", fault.toString())
                    .number("status", 0)
                    .write();
        } else {
            connection.exceptionCaught(context, fault);
        }
    }

    /** Closes the connection after the response, so that the caller's next connection may reach another router. */
    void closeAfterResponse() {
        keepAlive = false;
    }

    /** Returns whether the last part of the response is queued for writing, or the response was aborted. */
    boolean hasEnded() {
        return ended;
    }

    /** Returns whether a part of the response is queued for writing, or the response was aborted. */
    boolean hasStarted() {
        return started || ended;
    }

    /** Returns the id that the caller gave the request, or null. */
    @Nullable
    String requestId() {
        return caller.attemptId();
    }

    @Override
    public void sendResponse(int status, HttpHeaders headers, ByteBuf body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
        response.headers().set(headers);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        writeLast(response, applyKeepAlive(response));
    }

    @Override
    public void sendLocalReply(LocalReply reply) {
        String text = "{\"code\":\"" + reply.code() + "\"}\n";
        ByteBuf body = Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
        sendResponse(reply.status(), gateway.headerCodec().encodeLocalReply(reply, caller), body);
    }

    @Override
    public void beginStream(int status, HttpHeaders headers) {
        started = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(headers);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        keepAlive = applyKeepAlive(response);
        context.write(response, context.voidPromise());
    }

    @Override
    public void writeEvents(ByteBuf events) {
        context.writeAndFlush(new DefaultHttpContent(events), context.voidPromise());
    }

    @Override
    public void endStream() {
        // As announced in the head: the caller may send its next request on a connection that it may keep.
        writeLast(LastHttpContent.EMPTY_LAST_CONTENT, keepAlive);
    }

    @Override
    public void abort() {
        ended = true;
        context.close();
    }

    @Override
    public boolean isConnected() {
        return connection.isOpenAfterRead(context.channel());
    }

    @Override
    public boolean isWritable() {
        return context.channel().isWritable();
    }

    private boolean applyKeepAlive(HttpResponse response) {
        boolean keep = keepAlive && !gateway.state().isDraining();
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return keep;
    }

    private void writeLast(Object message, boolean keep) {
        if (ended) {
            return;
        }
        ended = true;
        connection.onResponseQueued(keep);
        ChannelFuture written = context.writeAndFlush(message);
        // The write may end at once, while the session that called this has not ended yet.
        written.addListener(done -> connection.execute(context, () -> connection.onExchangeEnded(context, this)));
    }
}
