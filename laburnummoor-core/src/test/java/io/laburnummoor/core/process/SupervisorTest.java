package io.laburnummoor.core.process;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import io.laburnummoor.core.Clock;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

/** Guards against a process that goes on without a thread, and against one that ends without a line in the log. */
final class SupervisorTest {
    private static final long WAIT_SECONDS = 10;

    private final List<String> lines = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Integer> exitStatus = new CompletableFuture<>();
    private volatile boolean listenerFails;
    private volatile boolean soundMeanwhile = true;
    private final Supervisor supervisor =
            new Supervisor(Clock.monotonic(), new RecordingListener(), exitStatus::complete);

    static Stream<@Nullable Throwable> failures() {
        return Stream.of(
                null, new IllegalStateException("unexpected"), new OutOfMemoryError("heap"), new StackOverflowError());
    }

    /** A failure of null stands for a task that returns. */
    @ParameterizedTest
    @MethodSource("failures")
    void theTaskRunsAgainAndTheProcessIsNotSoundMeanwhile(@Nullable Throwable failure) throws InterruptedException {
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch secondRun = new CountDownLatch(1);
        CountDownLatch end = new CountDownLatch(1);
        SupervisedThread thread = new SupervisedThread("worker", supervisor, () -> {
            if (runs.incrementAndGet() == 1) {
                throwUnchecked(failure);
                return;
            }
            secondRun.countDown();
            awaitQuietly(end);
        });
        thread.start();

        assertThat("the task runs again", secondRun.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
        assertThat("sound meanwhile", soundMeanwhile, is(false));
        assertThat("sound after the restart", supervisor.isSound(), is(true));
        assertThat(lines, contains("worker failed: " + failure));
        thread.stop();
        end.countDown();
        assertThat("the thread has ended", thread.join(TimeUnit.SECONDS.toMillis(WAIT_SECONDS)), is(true));
        assertThat("sound after the stop", supervisor.isSound(), is(true));
    }

    @ParameterizedTest(name = "listener fails: {0}")
    @ValueSource(booleans = {false, true})
    void theProcessEndsIfATaskFailsAgainAndAgain(boolean failingListener) throws Exception {
        listenerFails = failingListener;
        SupervisedThread thread = new SupervisedThread("worker", supervisor, () -> {
            throw new OutOfMemoryError("heap");
        });
        startMain();
        thread.start();

        assertThat(exitStatus.get(WAIT_SECONDS, TimeUnit.SECONDS), is(Supervisor.FAILURE_STATUS));
        assertThat("sound", supervisor.isSound(), is(false));
        assertThat(lines.contains("process ends with 70: worker"), is(!failingListener));
        thread.stop();
    }

    @ParameterizedTest
    @MethodSource("failures")
    void theProcessEndsAfterAThreadThatCannotBeStartedAgain(@Nullable Throwable failure) throws Exception {
        startMain();
        new Thread(supervisor.required("loop", () -> throwUnchecked(failure))).start();

        assertThat(exitStatus.get(WAIT_SECONDS, TimeUnit.SECONDS), is(Supervisor.FAILURE_STATUS));
        assertThat(lines, hasItem("process ends with 70: loop"));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void theProcessGoesOnDuringAPlannedStop(@Nullable Throwable failure) {
        supervisor.beginStop();
        supervisor.required("loop", () -> throwUnchecked(failure)).run();

        assertThat(supervisor.isSound(), is(true));
        assertThat(exitStatus.isDone(), is(false));
    }

    private void startMain() {
        Thread main = new Thread(supervisor::awaitFailure, "main");
        main.setDaemon(true);
        main.start();
    }

    private static void throwUnchecked(@Nullable Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        if (failure != null) {
            throw (RuntimeException) failure;
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private final class RecordingListener implements Supervisor.Listener {
        @Override
        public void threadFailed(ThreadFailure failure) {
            failIfAsked();
            soundMeanwhile = supervisor.isSound();
            lines.add(failure.thread() + " failed: " + failure.cause());
        }

        @Override
        public void processEnding(ThreadFailure failure, int status) {
            failIfAsked();
            lines.add("process ends with " + status + ": " + failure.thread());
        }

        private void failIfAsked() {
            if (listenerFails) {
                throw new OutOfMemoryError("heap");
            }
        }
    }
}
