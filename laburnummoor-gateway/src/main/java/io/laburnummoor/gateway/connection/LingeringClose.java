package io.laburnummoor.gateway.connection;

import java.util.concurrent.TimeUnit;

import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Closes the connection of a caller in two steps: ends the output, then reads and discards until the caller closes or a
 * deadline passes. Closed at once, a connection with unread or later bytes is reset, and the kernel drops what it still
 * holds of the last answers. Confined to the event loop of the channel.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** Lets a caller that reads 1 MB/s receive what the kernel usually holds, 4 MB; ends within a planned stop. */
    private static final long MAX_LINGER_MILLIS = 5_000;

    private final GatewayContext gateway;
    private final long deadlineMillis;
    private @Nullable ScheduledFuture<?> deadlineTimer;

    private LingeringClose(GatewayContext gateway, long deadlineMillis) {
        this.gateway = gateway;
        this.deadlineMillis = deadlineMillis;
    }

    /** Starts to close a connection on which everything has been written. */
    static void start(ChannelHandlerContext context, GatewayContext gateway) {
        if (context.channel().isActive() && context.channel() instanceof DuplexChannel channel) {
            long lingerMillis =
                    Math.min(MAX_LINGER_MILLIS, gateway.state().limits().idleTimeoutMillis());
            channel.pipeline()
                    .addFirst(new LingeringClose(gateway, gateway.clock().nowMillis() + lingerMillis));
            channel.shutdownOutput();
            channel.config().setAutoRead(true);
        } else {
            context.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        gateway.state().lingeringStarted();
        deadlineTimer = context.executor()
                .schedule(
                        () -> context.close(), deadlineMillis - gateway.clock().nowMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ReferenceCountUtil.release(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        gateway.state().lingeringEnded();
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        context.fireChannelInactive();
    }
}
