package io.laburnummoor.core.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.laburnummoor.core.Service;
import org.jspecify.annotations.Nullable;

/**
 * A daemon thread whose task runs again after it has failed or returned, until the thread is stopped. The task starts
 * from what the process or the platform knows, and returns once {@link #isStopping}.
 */
public final class SupervisedThread implements Service {
    private static final long RESTART_PAUSE_MILLIS = 100;
    /** A task that fails faster than this does not recover by being started again. */
    private static final int MAX_RESTARTS = 20;

    private static final long RESTART_WINDOW_MILLIS = 10_000;

    private final Supervisor supervisor;
    private final String name;
    private final Runnable task;
    private final Thread thread;
    private long windowStartMillis;
    private int restartsInWindow;
    private int restarts;
    private volatile boolean stopping;

    /** Creates a thread that is not started yet. */
    public SupervisedThread(String name, Supervisor supervisor, Runnable task) {
        this.supervisor = supervisor;
        this.name = name;
        this.task = task;
        this.thread = new Thread(this::runUntilStopped, name);
        this.thread.setDaemon(true);
    }

    @Override
    public void start() {
        thread.start();
    }

    /** Interrupts the task, and returns at once. */
    @Override
    public void stop() {
        stopping = true;
        thread.interrupt();
    }

    /** Waits for the end of the thread at most so long, and returns whether it has ended. */
    public boolean join(long millis) {
        try {
            thread.join(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return !thread.isAlive();
    }

    /** Returns whether the task should return. */
    public boolean isStopping() {
        return stopping;
    }

    private void runUntilStopped() {
        try {
            while (!stopping) {
                runOnce();
            }
        } finally {
            if (!stopping) {
                supervisor.ended(new ThreadFailure(name, null, restarts, 0));
            }
        }
    }

    private void runOnce() {
        long startMillis = supervisor.nowMillis();
        Throwable cause = null;
        try {
            task.run();
        } catch (Throwable failure) {
            cause = failure;
        }
        if (!stopping) {
            prepareRestart(cause, startMillis);
        }
    }

    /** Reports the failure, and returns after a pause. */
    private void prepareRestart(@Nullable Throwable cause, long startMillis) {
        long nowMillis = supervisor.nowMillis();
        if (nowMillis - windowStartMillis > RESTART_WINDOW_MILLIS) {
            windowStartMillis = nowMillis;
            restartsInWindow = 0;
        }
        restarts++;
        restartsInWindow++;
        ThreadFailure failure = new ThreadFailure(name, cause, restarts, nowMillis - startMillis);
        if (restartsInWindow > MAX_RESTARTS) {
            supervisor.ended(failure);
        }
        supervisor.restarting(failure);
        // An interrupt that was not a stop would cut all later waits of the task short.
        Thread.interrupted();
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RESTART_PAUSE_MILLIS));
        supervisor.restarted();
    }
}
