package io.laburnummoor.gateway.connection;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;

/**
 * Finds out whether an upstream has reset a connection after its ordinary end, as it does if it closes the connection
 * with bytes of the request that it has not read. Reading reports the end only, but a write fails after a reset.
 */
final class ResetCheck {
    /** A reset follows the end at once; it takes a few milliseconds to arrive. */
    private static final long RESET_WITHIN_MILLIS = 20;
    /** A server ignores an empty line after a request. */
    private static final byte[] EMPTY_LINE = "\r\n".getBytes(StandardCharsets.US_ASCII);

    private ResetCheck() {}

    /** Reports later whether the connection was reset; its request must have been written completely. */
    static void schedule(Channel channel, Consumer<Boolean> consumer) {
        channel.eventLoop().schedule(() -> write(channel, consumer), RESET_WITHIN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void write(Channel channel, Consumer<Boolean> consumer) {
        // The first handler's context, since the encoder takes whole requests only.
        channel.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE))
                .addListener(done -> consumer.accept(!done.isSuccess()));
    }
}
