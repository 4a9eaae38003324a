package io.laburnummoor.gateway.connection;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import io.laburnummoor.core.process.BufferBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Splits a stream of server-sent events into complete events and buffers an incomplete one. Not thread-safe. */
public final class EventFramer {
    /** Limit on the size of one event, so that a faulty upstream cannot exhaust the memory. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** A read of the socket returns no more than this. */
    private static final int UNRESERVED_BYTES = 65_536;

    private static final byte LINE_END = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private final BufferBudget budget;
    private final ByteBuf pending = Unpooled.buffer(256);
    /** Part of the buffer that is reserved in the budget. */
    private int reservedBytes;
    /** Bytes from the start of the incomplete event that hold no blank line, so that each byte is searched once. */
    private int searchedBytes;

    /** Creates a framer without bytes. */
    public EventFramer(BufferBudget budget) {
        this.budget = budget;
    }

    /**
     * Appends bytes and passes each event that is complete to the consumer.
     *
     * @throws IllegalArgumentException if an event exceeds the size limit or the budget, or its id is not a number
     */
    public void add(ByteBuf bytes, Consumer<Event> consumer) {
        reserve(pending.readableBytes() + bytes.readableBytes());
        pending.writeBytes(bytes);
        int end = findEventEnd();
        while (end >= 0) {
            byte[] event = new byte[end - pending.readerIndex()];
            pending.readBytes(event);
            consumer.accept(new Event(idOf(event), event));
            end = findEventEnd();
        }
        if (pending.readableBytes() > MAX_EVENT_BYTES) {
            throw new IllegalArgumentException("event is larger than " + MAX_EVENT_BYTES + " bytes");
        }
        pending.discardReadBytes();
    }

    /** Reserves the bytes of an incomplete event; the usual events, which are smaller, take none of the budget. */
    private void reserve(int neededBytes) {
        if (neededBytes <= Math.max(UNRESERVED_BYTES, reservedBytes)) {
            return;
        }
        int moreBytes = 2 * neededBytes - reservedBytes;
        if (!budget.tryReserve(reservedBytes, moreBytes)) {
            throw new IllegalArgumentException("no memory is left for an event of " + neededBytes + " bytes");
        }
        reservedBytes += moreBytes;
    }

    /** Returns the reserved bytes to the budget; the framer is not used afterwards. */
    public void close() {
        budget.release(reservedBytes);
        reservedBytes = 0;
    }

    /** Returns whether an incomplete event is buffered. */
    public boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /** Returns the index after the blank line that ends the first event, or -1 if that event is incomplete. */
    private int findEventEnd() {
        int from = pending.readerIndex() + searchedBytes;
        while (true) {
            int lineEnd = pending.indexOf(from, pending.writerIndex(), LINE_END);
            if (lineEnd < 0) {
                searchedBytes = pending.readableBytes();
                return -1;
            }
            int next = lineEnd + 1;
            if (next < pending.writerIndex() && pending.getByte(next) == CARRIAGE_RETURN) {
                next++;
            }
            if (next >= pending.writerIndex()) {
                searchedBytes = lineEnd - pending.readerIndex();
                return -1;
            }
            if (pending.getByte(next) == LINE_END) {
                searchedBytes = 0;
                return next + 1;
            }
            from = lineEnd + 1;
        }
    }

    private static long idOf(byte[] event) {
        for (String line : new String(event, StandardCharsets.ISO_8859_1).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                return Long.parseLong(line.substring(ID_FIELD.length()).trim());
            }
        }
        return Event.NO_ID;
    }

    /**
     * One complete event.
     *
     * @param id id of the event, or {@link #NO_ID}
     * @param bytes bytes of the event, including the terminating blank line
     */
    public record Event(long id, byte[] bytes) {
        /** Value of the id of an event without one. */
        static final long NO_ID = -1;

        /** Returns whether the event has an id. */
        public boolean hasId() {
            return id != NO_ID;
        }
    }
}
