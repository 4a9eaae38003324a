package io.laburnummoor.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Keeps bytes that arrive while no request is open from the decoder, which would take them for the beginning of the
 * next response.
 */
final class UnsolicitedBytesHandler extends ChannelInboundHandlerAdapter {
    private final UpstreamConnection connection;

    UnsolicitedBytesHandler(UpstreamConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (connection.isAwaitingResponse() || !(message instanceof ByteBuf bytes)) {
            context.fireChannelRead(message);
            return;
        }
        connection.onUnsolicitedBytes(bytes.readableBytes());
        ReferenceCountUtil.release(message);
    }
}
