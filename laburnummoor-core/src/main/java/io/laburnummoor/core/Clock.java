package io.laburnummoor.core;

/**
 * A source of time in milliseconds.
 *
 * <p>Deadlines inside one process use a monotonic clock. Deadlines that are compared between processes use the wall
 * clock, whose difference between VMs is taken to be at most {@link #MAX_CLOCK_DIFFERENCE_MILLIS}.
 */
public interface Clock {
    /** Bound on the difference between the wall clocks of two VMs. */
    long MAX_CLOCK_DIFFERENCE_MILLIS = 5_000;

    /** Returns the current time in milliseconds. */
    long nowMillis();

    /** Returns a clock that never goes back; its origin is arbitrary. */
    static Clock monotonic() {
        return () -> System.nanoTime() / 1_000_000;
    }

    /** Returns the wall clock, in milliseconds since 1970-01-01 UTC. */
    static Clock wall() {
        return System::currentTimeMillis;
    }
}
