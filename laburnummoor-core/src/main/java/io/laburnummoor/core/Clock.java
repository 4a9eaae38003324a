package io.laburnummoor.core;

/**
 * A source of time in milliseconds.
 *
 * <p>Deadlines within one process use a monotonic clock. Deadlines that are compared between processes use the wall
 * clock; wall clocks of two VMs are assumed to differ by at most {@link #MAX_CLOCK_DIFFERENCE_MILLIS}.
 */
public interface Clock {
    /** Assumed upper bound on the difference between the wall clocks of two VMs. */
    long MAX_CLOCK_DIFFERENCE_MILLIS = 5_000;

    /** Returns the current time in milliseconds. */
    long nowMillis();

    /** Returns a monotonic clock; its origin is arbitrary. */
    static Clock monotonic() {
        return () -> System.nanoTime() / 1_000_000;
    }

    /** Returns the wall clock, in milliseconds since 1970-01-01 UTC. */
    static Clock wall() {
        return System::currentTimeMillis;
    }
}
