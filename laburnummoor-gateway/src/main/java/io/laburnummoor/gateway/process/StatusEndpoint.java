package io.laburnummoor.gateway.process;

import java.util.function.Function;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Answers each request with the result of one function of its target. Serves the readiness check, the metrics and the
 * changes of the store for other routers.
 */
final class StatusEndpoint extends ChannelInitializer<SocketChannel> {
    private static final int MAX_REQUEST_BYTES = 4_096;

    private final Function<String, Reply> reply;

    StatusEndpoint(Function<String, Reply> reply) {
        this.reply = reply;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                .addLast(new Responder());
    }

    record Reply(HttpResponseStatus status, byte[] body) {}

    private final class Responder extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Reply current = reply.apply(request.uri());
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, current.status(), Unpooled.wrappedBuffer(current.body()));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, current.body().length);
            boolean keep = HttpUtil.isKeepAlive(request);
            var written = context.writeAndFlush(response);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
