package io.laburnummoor.gateway.connection;

import java.util.ArrayDeque;
import java.util.Deque;

import io.laburnummoor.core.process.BufferBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Parts of requests that a caller sent before the response to an earlier one ended, counted against the budget of the
 * process. Once one does not fit, it and all later ones are dropped. Confined to the event loop of the connection.
 */
final class PipelinedMessages {
    /** Number of parts at which reading should pause. */
    private static final int MAX_MESSAGES = 64;
    /** Memory of a part of a body besides its bytes. */
    private static final int CONTENT_BYTES = 128;

    private final BufferBudget budget;
    private final Deque<Entry> entries = new ArrayDeque<>();
    private long heldBytes;
    private boolean overflowed;

    PipelinedMessages(BufferBudget budget) {
        this.budget = budget;
    }

    /** Adds a message, of which it keeps a copy, or drops it if the budget does not have its bytes. */
    void add(Object message) {
        long bytes = bytesOf(message);
        overflowed = overflowed || !budget.tryReserve(heldBytes, bytes);
        if (!overflowed) {
            heldBytes += bytes;
            entries.addLast(new Entry(copyOf(message), bytes));
        }
        ReferenceCountUtil.release(message);
    }

    private static long bytesOf(Object message) {
        long headBytes = message instanceof HttpRequest head ? HeldRequest.headBytesOf(head) : 0;
        int bodyBytes =
                message instanceof HttpContent content ? content.content().readableBytes() : 0;
        return headBytes + CONTENT_BYTES + bodyBytes;
    }

    /** Copies bytes of a body, which would keep the whole buffer of a read from being freed. */
    private static Object copyOf(Object message) {
        if (!(message instanceof HttpContent content) || content.decoderResult().isFailure()) {
            return message;
        }
        ByteBuf bytes = Unpooled.copiedBuffer(content.content());
        return content instanceof LastHttpContent ? new DefaultLastHttpContent(bytes) : new DefaultHttpContent(bytes);
    }

    /** Removes and returns the oldest message, which the caller of this method releases; null if there is none. */
    @Nullable
    Object poll() {
        Entry oldest = entries.pollFirst();
        if (oldest == null) {
            return null;
        }
        heldBytes -= oldest.bytes;
        budget.release(oldest.bytes);
        return oldest.message;
    }

    /** Returns whether reading should pause. */
    boolean isFull() {
        return entries.size() >= MAX_MESSAGES;
    }

    /** Returns whether messages after the last one were dropped. */
    boolean hasOverflowed() {
        return overflowed;
    }

    /** Drops all messages. */
    void release() {
        entries.forEach(each -> ReferenceCountUtil.release(each.message));
        entries.clear();
        budget.release(heldBytes);
        heldBytes = 0;
    }

    private record Entry(Object message, long bytes) {}
}
