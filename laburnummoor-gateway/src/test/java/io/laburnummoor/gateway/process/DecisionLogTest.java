package io.laburnummoor.gateway.process;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.Arrays;

import io.laburnummoor.wire.process.StopSignal;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Guards against lines of the log that fill the heap while nobody reads the output of the process. */
final class DecisionLogTest {
    private static final int LINES = 10_000;
    private static final int BOUND_LINES = 4_096;
    private static final int BOUND_CHARS = 2 << 20;
    private static final long WAIT_MILLIS = 10_000;

    @ParameterizedTest(name = "lines with values of {0} characters")
    @CsvSource({"10, 4096", "1000, 1900", "16000, 120", "100000, 20"})
    void waitingLinesAreBoundedInNumberAndBytes(int valueChars, int minLines) throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        DecisionLog log = new DecisionLog("router-1", new PrintStream(output, true), StopSignal.newSupervisor());
        String value = "x".repeat(valueChars);
        for (int i = 0; i < LINES; i++) {
            log.line("test").text("value", value).write();
        }
        long waiting = LINES - log.droppedCount();
        assertThat(waiting, is(allOf(greaterThanOrEqualTo((long) minLines), lessThanOrEqualTo((long) BOUND_LINES))));
        assertThat(waiting * valueChars, is(lessThanOrEqualTo((long) BOUND_CHARS)));

        log.start();
        awaitText(output, "log_lines_dropped");
        log.line("later").write();
        awaitText(output, "\"later\"");
        log.stop();

        long written = Arrays.stream(output.toString().split("\n"))
                .filter(each -> each.contains(value))
                .count();
        assertThat("lines that waited", written, is(waiting));
    }

    private static void awaitText(ByteArrayOutputStream output, String text) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + WAIT_MILLIS * 1_000_000;
        while (!output.toString().contains(text) && System.nanoTime() < deadlineNanos) {
            Thread.sleep(20);
        }
    }
}
