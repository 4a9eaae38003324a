package io.laburnummoor.core;

/**
 * A part of a process that owns threads, sockets or timers.
 *
 * <p>{@link #start()} is called once, {@link #stop()} at most once after it and releases everything that start took.
 */
public interface Service {
    /** Starts this service; returns once it is ready. */
    void start();

    /** Stops this service after finishing the work it has accepted. */
    void stop();
}
