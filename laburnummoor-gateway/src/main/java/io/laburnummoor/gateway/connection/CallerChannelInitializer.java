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

/** Sets up the pipelines of caller connections; those of one event loop share a pool of upstream connections. */
public final class CallerChannelInitializer extends ChannelInitializer<SocketChannel> {
    private final GatewayContext gateway;
    private final Map<EventLoop, UpstreamPool> pools = new ConcurrentHashMap<>();

    /** Creates an initializer for the connections of a gateway. */
    public CallerChannelInitializer(GatewayContext gateway) {
        this.gateway = gateway;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        UpstreamPool pool = pools.computeIfAbsent(channel.eventLoop(), loop -> new UpstreamPool(loop, gateway.clock()));
        StrictRequestDecoder decoder =
                new StrictRequestDecoder(gateway.state().limits().headerBytes());
        CallerConnection connection = new CallerConnection(gateway, pool, decoder);
        channel.pipeline()
                .addLast(new ReadObserver(connection))
                .addLast(decoder)
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
    }

    /** Reports received bytes to the connection, since the decoder may buffer them until the head is complete. */
    private static final class ReadObserver extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        private ReadObserver(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.onBytesReceived();
            context.fireChannelRead(message);
        }
    }
}
