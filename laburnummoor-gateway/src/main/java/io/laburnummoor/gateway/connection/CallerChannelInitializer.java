package io.laburnummoor.gateway.connection;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Sets up the pipelines of caller connections, which share a pool of upstream connections per event loop, and knows the
 * open ones. Thread-safe.
 */
public final class CallerChannelInitializer extends ChannelInitializer<SocketChannel> {
    private final GatewayContext gateway;
    private final Map<EventLoop, UpstreamPool> pools = new ConcurrentHashMap<>();
    private final Map<SocketChannel, CallerConnection> connections = new ConcurrentHashMap<>();

    /** Creates an initializer for the connections of a gateway. */
    public CallerChannelInitializer(GatewayContext gateway) {
        this.gateway = gateway;
    }

    /** Makes the open requests of all connections end with their final responses, on their event loops. */
    public void endOpenRequests() {
        connections.forEach((channel, connection) -> channel.eventLoop().execute(connection::endOpenRequest));
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        UpstreamPool pool = pools.computeIfAbsent(
                channel.eventLoop(), loop -> new UpstreamPool(loop, gateway.clock(), this::recordUnsolicitedBytes));
        StrictRequestDecoder decoder =
                new StrictRequestDecoder(gateway.state().limits().headerBytes());
        CallerConnection connection = new CallerConnection(gateway, pool);
        connections.put(channel, connection);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        channel.pipeline()
                .addLast(new ReadObserver(connection, decoder))
                .addLast(decoder)
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
    }

    private void recordUnsolicitedBytes(String address, int byteCount, int requestCount) {
        gateway.metrics().unsolicitedBytes();
        gateway.log()
                .line("upstream_unsolicited_bytes")
                .text("address", address)
                .number("bytes", byteCount)
                .number("connection_requests", requestCount)
                .write();
    }

    /**
     * Reports received bytes to the connection, since the decoder may buffer them until the head is complete. Replaces
     * the decoder between two requests if the limit for heads has changed, since a decoder keeps the one it has.
     */
    private final class ReadObserver extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;
        private StrictRequestDecoder decoder;

        private ReadObserver(CallerConnection connection, StrictRequestDecoder decoder) {
            this.connection = connection;
            this.decoder = decoder;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.onBytesReceived();
            int maxHeaderBytes = gateway.state().limits().headerBytes();
            if (maxHeaderBytes != decoder.maxHeaderBytes() && decoder.isBetweenRequests()) {
                StrictRequestDecoder replacement = new StrictRequestDecoder(maxHeaderBytes);
                context.pipeline().replace(decoder, null, replacement);
                decoder = replacement;
            }
            context.fireChannelRead(message);
        }
    }
}
