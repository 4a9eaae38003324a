package io.laburnummoor.core.process;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntConsumer;

import io.laburnummoor.core.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Watches the long-lived threads of a process. A {@link SupervisedThread} is started again after a failure; the end of
 * anything else that is required ends the process, so that the platform starts it again. Thread-safe.
 */
public final class Supervisor {
    /** Status of a process that ends because of a failure; 0 is that of a planned stop, 1 the virtual machine's. */
    public static final int FAILURE_STATUS = 70;

    private final Clock clock;
    private final IntConsumer processEnd;
    private final AtomicReference<@Nullable ThreadFailure> fatalFailure = new AtomicReference<>();
    private final AtomicReference<@Nullable ThreadFailure> unreportedFailure = new AtomicReference<>();
    private final AtomicInteger restartingThreads = new AtomicInteger();
    private volatile Listener listener;
    private volatile boolean stopping;
    private volatile @Nullable Thread waiting;

    /**
     * Creates a supervisor.
     *
     * @param processEnd ends the process at once with the given status, without planned stop
     */
    public Supervisor(Clock clock, Listener listener, IntConsumer processEnd) {
        this.clock = clock;
        this.listener = listener;
        this.processEnd = processEnd;
    }

    /** Reports to another listener from now on; the log itself has a supervised thread. */
    public void reportTo(Listener next) {
        listener = next;
    }

    /** Returns a task that must not end before {@link #beginStop}, for a thread that cannot be started again. */
    public Runnable required(String thread, Runnable task) {
        return () -> {
            long startMillis = clock.nowMillis();
            Throwable cause = null;
            try {
                task.run();
            } catch (Throwable failure) {
                cause = failure;
            } finally {
                ended(new ThreadFailure(thread, cause, 0, clock.nowMillis() - startMillis));
            }
        };
    }

    /** Reports that a thread, or another part that the process needs, has ended and cannot be started again. */
    public void ended(ThreadFailure failure) {
        if (!stopping && fatalFailure.compareAndSet(null, failure)) {
            LockSupport.unpark(waiting);
        }
    }

    /** Expects threads to end from now on. */
    public void beginStop() {
        stopping = true;
    }

    /** Returns whether no thread is missing. */
    public boolean isSound() {
        return fatalFailure.get() == null && restartingThreads.get() == 0;
    }

    /** Waits until the process cannot go on, and then ends it. Called by the main thread, which does nothing else. */
    public void awaitFailure() {
        ThreadFailure failure = null;
        while (failure == null) {
            try {
                parkUntilFailure();
                failure = fatalFailure.get();
            } catch (Throwable own) {
                report(new ThreadFailure("main", own, 1, 0));
            }
        }
        endProcess(failure);
    }

    private void parkUntilFailure() {
        waiting = Thread.currentThread();
        while (fatalFailure.get() == null) {
            LockSupport.park(this);
            // An interrupted thread would not wait any more.
            Thread.interrupted();
        }
    }

    private void endProcess(ThreadFailure failure) {
        try {
            listener.processEnding(failure, FAILURE_STATUS);
        } catch (Throwable unreported) {
            // The process must end also if memory lacks for the report.
            unreportedFailure.set(failure);
        } finally {
            processEnd.accept(FAILURE_STATUS);
        }
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    void restarting(ThreadFailure failure) {
        restartingThreads.incrementAndGet();
        report(failure);
    }

    void restarted() {
        restartingThreads.decrementAndGet();
    }

    private void report(ThreadFailure failure) {
        ThreadFailure earlier = unreportedFailure.getAndSet(null);
        try {
            if (earlier != null) {
                listener.threadFailed(earlier);
            }
            listener.threadFailed(failure);
        } catch (Throwable unreported) {
            // The listener may lack the memory, too; it gets the failure before the next one.
            unreportedFailure.set(failure);
        }
    }

    /** Receives what the supervisor does, on the thread that failed or the main one. */
    public interface Listener {
        /** A thread failed and is started again. */
        void threadFailed(ThreadFailure failure);

        /** The process ends with the given status once this method has returned. */
        void processEnding(ThreadFailure failure, int status);
    }
}
