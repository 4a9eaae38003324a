package io.laburnummoor.core;

/**
 * A component of a process that owns threads, sockets or timers.
 *
 * <p>{@link #start()} is called once. {@link #stop()} is called at most once after it and releases all resources that
 * {@link #start()} acquired.
 */
public interface Service {
    /** Starts this service and returns once it is ready. */
    void start();

    /** Stops this service after it has finished the work that it accepted. */
    void stop();
}
