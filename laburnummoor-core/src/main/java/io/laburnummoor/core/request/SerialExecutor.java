package io.laburnummoor.core.request;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Runs the tasks of one request one after another, in the order of their submission, without a lock or a thread of its
 * own.
 *
 * <p>The thread that raises the number of pending tasks from zero runs all of them or submits them to the underlying
 * executor; other threads only add to the queue. The order is fixed by {@link #execute}, so an underlying executor with
 * many threads cannot reorder tasks.
 */
public final class SerialExecutor implements Executor {
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pendingCount = new AtomicInteger();
    private final Executor runner;
    private final Consumer<Throwable> failureHandler;

    /** Creates an executor that passes what a task throws to the handler and continues with the next task. */
    public SerialExecutor(Consumer<Throwable> failureHandler) {
        this(Runnable::run, failureHandler);
    }

    /** Creates an executor whose tasks run on the given executor, for tasks that may block. */
    public SerialExecutor(Executor runner, Consumer<Throwable> failureHandler) {
        this.runner = runner;
        this.failureHandler = failureHandler;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (pendingCount.getAndIncrement() == 0) {
            runner.execute(this::drain);
        }
    }

    private void drain() {
        do {
            Runnable task = tasks.poll();
            if (task != null) {
                runOne(task);
            }
        } while (pendingCount.decrementAndGet() != 0);
    }

    private void runOne(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error failure) {
            failureHandler.accept(failure);
        }
    }
}
