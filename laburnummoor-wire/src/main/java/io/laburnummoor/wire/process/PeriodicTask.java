package io.laburnummoor.wire.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.GuardedTask;
import io.laburnummoor.core.process.SupervisedThread;
import io.laburnummoor.core.process.Supervisor;
import org.jboss.logging.Logger;

/**
 * Runs a task at a fixed interval on a thread of its own; a failure, errors of the virtual machine included, is logged
 * and does not end the repetition. Runs that are missed, for example during a pause of the process, are left out.
 */
public final class PeriodicTask implements Service {
    private static final Logger LOGGER = Logger.getLogger(PeriodicTask.class);

    private final long intervalNanos;
    private final Runnable task;
    private final SupervisedThread thread;

    /** Creates a task that runs first at the start and then after each interval. */
    public PeriodicTask(String name, long intervalMillis, Supervisor supervisor, Runnable task) {
        this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
        this.task = new GuardedTask(task, failure -> LOGGER.errorf(failure, "periodic task %s failed", name));
        this.thread = new SupervisedThread(name, supervisor, this::runPeriodically);
    }

    /** Creates a task for a process without supervisor; its thread is started again, too. */
    public PeriodicTask(String name, long intervalMillis, Runnable task) {
        this(name, intervalMillis, StopSignal.newSupervisor(), task);
    }

    @Override
    public void start() {
        thread.start();
    }

    @Override
    public void stop() {
        thread.stop();
    }

    private void runPeriodically() {
        long dueNanos = System.nanoTime();
        while (!thread.isStopping()) {
            task.run();
            long nowNanos = System.nanoTime();
            dueNanos += intervalNanos;
            if (dueNanos - nowNanos < 0) {
                dueNanos = nowNanos;
            }
            waitUntil(dueNanos);
        }
    }

    private void waitUntil(long dueNanos) {
        long leftNanos = dueNanos - System.nanoTime();
        while (leftNanos > 0 && !thread.isStopping()) {
            LockSupport.parkNanos(leftNanos);
            // An interrupt without stop must not make the thread spin.
            Thread.interrupted();
            leftNanos = dueNanos - System.nanoTime();
        }
    }
}
