package io.laburnummoor.core.process;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory of all buffers that hold bytes of upstreams, or of callers. A buffer may grow up to the size that
 * is still free: responses without end, which fill one buffer each, then leave a part of the budget to the others,
 * however many there are. A part that large buffers cannot use is left to small ones. Thread-safe without a lock.
 */
public final class BufferBudget {
    /** Size up to which a buffer may use the whole budget. */
    static final int SMALL_BUFFER_BYTES = 131_072;
    /** Part of the budget for small buffers only: large ones that wait for slow readers would fill it for long. */
    private static final int SMALL_BUFFERS_PART = 16;

    private final long limitBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    /** Creates a budget of which nothing is reserved. */
    public BufferBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Reserves bytes for a buffer.
     *
     * @param heldBytes bytes that the buffer has reserved before
     * @param moreBytes bytes to reserve
     * @return whether they were reserved; otherwise the buffer may not grow
     */
    public boolean tryReserve(long heldBytes, long moreBytes) {
        while (true) {
            long used = usedBytes.get();
            long bufferBytes = heldBytes + moreBytes;
            if (bufferBytes > limitBytes - used || used + moreBytes > limitBytes - keptFreeBytes(bufferBytes)) {
                return false;
            }
            if (usedBytes.compareAndSet(used, used + moreBytes)) {
                return true;
            }
        }
    }

    private long keptFreeBytes(long bufferBytes) {
        return bufferBytes > SMALL_BUFFER_BYTES ? limitBytes / SMALL_BUFFERS_PART : 0;
    }

    /** Returns whether a small buffer fits, which work that will need one should ask before it starts. */
    public boolean hasRoom() {
        return limitBytes - usedBytes.get() >= SMALL_BUFFER_BYTES;
    }

    /** Returns reserved bytes to the budget. */
    public void release(long bytes) {
        usedBytes.addAndGet(-bytes);
    }

    /** Returns the bytes that may be reserved in all. */
    public long limitBytes() {
        return limitBytes;
    }

    /** Returns the bytes that are reserved now. */
    public long usedBytes() {
        return usedBytes.get();
    }
}
