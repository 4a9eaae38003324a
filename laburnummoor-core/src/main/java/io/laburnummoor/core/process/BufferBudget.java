package io.laburnummoor.core.process;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory of all buffers that hold bytes of upstreams. A buffer may grow up to the size that is still free:
 * responses without end, which fill one buffer each, then leave a part of the budget to the others, however many there
 * are. Thread-safe without a lock.
 */
public final class BufferBudget {
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
            if (heldBytes + moreBytes > limitBytes - used) {
                return false;
            }
            if (usedBytes.compareAndSet(used, used + moreBytes)) {
                return true;
            }
        }
    }

    /** Returns reserved bytes to the budget. */
    public void release(long bytes) {
        usedBytes.addAndGet(-bytes);
    }

    /** Returns the bytes that are reserved now. */
    public long usedBytes() {
        return usedBytes.get();
    }
}
