package io.laburnummoor.core.process;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * A task of a long-lived thread whose failures, errors of the virtual machine included, are passed to a handler. They
 * would otherwise end the thread or the repetition of the task, and the process would go on without it. Used by one
 * thread at a time.
 */
public final class GuardedTask implements Runnable {
    private final Runnable task;
    private final Consumer<Throwable> failureHandler;
    private @Nullable Throwable unhandled;

    /** Creates a task; the handler should first release what the task keeps, since memory may have run out. */
    public GuardedTask(Runnable task, Consumer<Throwable> failureHandler) {
        this.task = task;
        this.failureHandler = failureHandler;
    }

    @Override
    public void run() {
        Throwable earlier = unhandled;
        unhandled = null;
        if (earlier != null) {
            handle(earlier);
        }
        try {
            task.run();
        } catch (Throwable failure) {
            handle(failure);
        }
    }

    private void handle(Throwable failure) {
        try {
            failureHandler.accept(failure);
        } catch (Throwable handlerFailure) {
            // The handler may lack the memory, too; it gets the failure again before the next run.
            unhandled = failure;
        }
    }
}
