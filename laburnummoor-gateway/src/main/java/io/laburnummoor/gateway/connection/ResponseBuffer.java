package io.laburnummoor.gateway.connection;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.process.BufferBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * Collects the body of a response or of a caller's request in chunks whose bytes are reserved in a budget of the
 * process until the last user of the body releases it. Not thread-safe.
 */
public final class ResponseBuffer {
    private static final int MIN_CHUNK_BYTES = 256;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final BufferBudget budget;
    private final int maxBytes;
    private final List<ByteBuf> chunks = new ArrayList<>();
    private int reservedBytes;
    private int size;

    /**
     * Creates an empty buffer.
     *
     * @param maxBytes limit on the size of this buffer, whatever the budget has left
     */
    public ResponseBuffer(BufferBudget budget, int maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
    }

    /** Appends bytes, or returns false if they exceed the limit or the budget. */
    public boolean append(ByteBuf content) {
        if (content.readableBytes() > maxBytes - size) {
            return false;
        }
        while (content.isReadable()) {
            if (!hasWritableChunk() && !addChunk(content.readableBytes())) {
                return false;
            }
            ByteBuf chunk = chunks.get(chunks.size() - 1);
            int length = Math.min(chunk.writableBytes(), content.readableBytes());
            chunk.writeBytes(content, length);
            size += length;
        }
        return true;
    }

    private boolean hasWritableChunk() {
        return !chunks.isEmpty() && chunks.get(chunks.size() - 1).isWritable();
    }

    /** Adds a chunk about as large as all before it, so that small parts do not take one chunk each. */
    private boolean addChunk(int neededBytes) {
        int capacity = Math.min(MAX_CHUNK_BYTES, Math.max(MIN_CHUNK_BYTES, Math.max(neededBytes, size)));
        if (!budget.tryReserve(reservedBytes, capacity)) {
            return false;
        }
        reservedBytes += capacity;
        chunks.add(new ReservedChunk(capacity));
        return true;
    }

    /** Returns the number of bytes. */
    public int size() {
        return size;
    }

    /** Passes the bytes on to the caller of this method, who releases them; the buffer is empty afterwards. */
    public ByteBuf detach() {
        ByteBuf bytes = join();
        forgetChunks();
        return bytes;
    }

    private ByteBuf join() {
        return switch (chunks.size()) {
            case 0 -> Unpooled.EMPTY_BUFFER;
            case 1 -> chunks.get(0);
            default -> new CompositeByteBuf(UnpooledByteBufAllocator.DEFAULT, false, chunks.size())
                    .addComponents(true, chunks);
        };
    }

    /** Returns a copy of the bytes. */
    public byte[] toBytes() {
        byte[] bytes = new byte[size];
        int position = 0;
        for (ByteBuf each : chunks) {
            int length = each.readableBytes();
            each.getBytes(each.readerIndex(), bytes, position, length);
            position += length;
        }
        return bytes;
    }

    /** Releases the bytes. */
    public void release() {
        chunks.forEach(ByteBuf::release);
        forgetChunks();
    }

    private void forgetChunks() {
        chunks.clear();
        reservedBytes = 0;
        size = 0;
    }

    /** Returns its bytes to the budget when it is released for the last time. */
    private final class ReservedChunk extends UnpooledHeapByteBuf {
        ReservedChunk(int capacity) {
            super(UnpooledByteBufAllocator.DEFAULT, capacity, capacity);
        }

        @Override
        protected void freeArray(byte[] array) {
            budget.release(array.length);
        }
    }
}
