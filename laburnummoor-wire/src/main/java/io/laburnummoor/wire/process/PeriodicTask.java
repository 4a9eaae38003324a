package io.laburnummoor.wire.process;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.GuardedTask;
import org.jboss.logging.Logger;

/**
 * Runs a task at a fixed interval on a thread of its own; a failure, errors of the virtual machine included, is logged
 * and does not end the repetition.
 */
public final class PeriodicTask implements Service {
    private static final Logger LOGGER = Logger.getLogger(PeriodicTask.class);

    private final long intervalMillis;
    private final Runnable task;
    private final ScheduledExecutorService executor;

    /** Creates a task that runs first at the start and then after each interval. */
    public PeriodicTask(String name, long intervalMillis, Runnable task) {
        this.intervalMillis = intervalMillis;
        this.task = new GuardedTask(task, failure -> LOGGER.errorf(failure, "periodic task %s failed", name));
        this.executor = Executors.newSingleThreadScheduledExecutor(run -> {
            Thread thread = new Thread(run, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    @Override
    public void start() {
        executor.scheduleAtFixedRate(task, 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        executor.shutdownNow();
    }
}
