package io.laburnummoor.core.process;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Decides which occurrences of a repeated fault are logged: at most one in each interval, so that faulty input does not
 * fill the log. Used by several threads.
 */
public final class LogInterval {
    private final long intervalMillis;
    private final AtomicLong nextLineMillis = new AtomicLong(Long.MIN_VALUE);
    private final AtomicLong unloggedCount = new AtomicLong();

    public LogInterval(long intervalMillis) {
        this.intervalMillis = intervalMillis;
    }

    /**
     * Counts an occurrence.
     *
     * @return the number of occurrences since the last logged one if this one is to be logged, else 0
     */
    public long record(long nowMillis) {
        unloggedCount.incrementAndGet();
        long next = nextLineMillis.get();
        if (nowMillis < next || !nextLineMillis.compareAndSet(next, nowMillis + intervalMillis)) {
            return 0;
        }
        return unloggedCount.getAndSet(0);
    }
}
