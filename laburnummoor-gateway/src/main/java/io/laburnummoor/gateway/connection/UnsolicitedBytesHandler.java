package io.laburnummoor.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Reports bytes that arrive on an upstream connection while no request is open. Stands before the decoder, which keeps
 * the beginning of a response until the rest arrives.
 */
final class UnsolicitedBytesHandler extends ChannelInboundHandlerAdapter {
    private final UpstreamConnection connection;
    private final UnsolicitedBytesListener listener;

    UnsolicitedBytesHandler(UpstreamConnection connection, UnsolicitedBytesListener listener) {
        this.connection = connection;
        this.listener = listener;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!connection.isAwaitingResponse() && message instanceof ByteBuf bytes) {
            listener.onUnsolicitedBytes(connection.key(), bytes.readableBytes(), connection.requestCount());
        }
        context.fireChannelRead(message);
    }
}
