package io.laburnummoor.gateway.process;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.GuardedTask;
import io.laburnummoor.core.process.SupervisedThread;
import io.laburnummoor.core.process.Supervisor;
import org.jspecify.annotations.Nullable;

/**
 * Structured log with one JSON line for each decision and each change of known state. Lines pass through a bounded
 * queue to a writer thread; when the queue is full, by number or by length, lines are dropped and counted, so that no
 * request waits for the log.
 *
 * <pre>{@code
 * log.line("upstream_chosen").text("request", id).number("load", 3).write();
 * }</pre>
 */
public final class DecisionLog implements Service {
    private static final int QUEUE_LINES = 4_096;
    /** Limits the heap that waiting lines take while nobody reads the output; a character takes at most two bytes. */
    private static final int QUEUE_CHARS = 2 << 20;
    /** Characters that are encoded and written at once. */
    private static final int WRITE_CHARS = 65_536;
    /** Lines of this interval are written as one batch, which saves wake-ups of the writer thread. */
    private static final long BATCH_MILLIS = 50;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final AtomicLong droppedCount = new AtomicLong();
    /** Characters of the lines that wait or are being written. */
    private final AtomicInteger queuedChars = new AtomicInteger();

    private final String processName;
    private final PrintStream output;
    private final SupervisedThread writer;
    /** Lines that the writer thread writes next. */
    private final List<String> batch = new ArrayList<>();

    private long reportedDrops;

    /** Creates a log whose lines contain the name of the process, with a writer thread that is supervised. */
    public DecisionLog(String processName, PrintStream output, Supervisor supervisor) {
        this.processName = processName;
        this.output = output;
        this.writer = new SupervisedThread("log", supervisor, this::writeLines);
    }

    /** Starts a line for an event. */
    public Line line(String event) {
        return new Line(event);
    }

    /** Returns the number of lines dropped so far. */
    public long droppedCount() {
        return droppedCount.get();
    }

    @Override
    public void start() {
        writer.start();
    }

    @Override
    public void stop() {
        writer.stop();
        if (writer.join(4 * BATCH_MILLIS)) {
            // The thread may have been stopped while it was to be started again.
            new GuardedTask(this::writeBatch, this::dropBatch).run();
        }
    }

    private void writeLines() {
        Runnable guardedWrite = new GuardedTask(this::writeBatch, this::dropBatch);
        boolean interrupted = false;
        while (!interrupted) {
            try {
                batch.add(queue.take());
                Thread.sleep(BATCH_MILLIS);
            } catch (InterruptedException ending) {
                interrupted = true;
            }
            guardedWrite.run();
        }
    }

    private void dropBatch(Throwable fault) {
        droppedCount.addAndGet(batch.size());
        clearBatch();
        line("log_batch_dropped").text("error", fault.toString()).write();
    }

    private void writeBatch() {
        queue.drainTo(batch);
        StringBuilder text = new StringBuilder();
        for (String line : batch) {
            text.append(line).append('\n');
            if (text.length() >= WRITE_CHARS) {
                writeText(text);
            }
        }
        long drops = droppedCount.get();
        if (drops > reportedDrops) {
            text.append(new Line("log_lines_dropped")
                            .number("count", drops - reportedDrops)
                            .toJson())
                    .append('\n');
        }
        writeText(text);
        output.flush();
        clearBatch();
        reportedDrops = drops;
    }

    private void writeText(StringBuilder text) {
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        output.write(bytes, 0, bytes.length);
        text.setLength(0);
    }

    private void clearBatch() {
        batch.forEach(line -> queuedChars.addAndGet(-line.length()));
        batch.clear();
    }

    private boolean offer(String line) {
        int length = line.length();
        if (queuedChars.addAndGet(length) <= QUEUE_CHARS && queue.offer(line)) {
            return true;
        }
        queuedChars.addAndGet(-length);
        return false;
    }

    /** Builder of one line. */
    public final class Line {
        private final StringBuilder json = new StringBuilder(192);

        private Line(String event) {
            json.append("{\"at_ms\":").append(System.currentTimeMillis());
            text("process", processName);
            text("event", event);
        }

        /** Adds a string field; null is omitted. */
        public Line text(String name, @Nullable String value) {
            if (value != null) {
                json.append(",\"").append(name).append("\":\"");
                JsonStringEncoder.getInstance().quoteAsString(value, json);
                json.append('"');
            }
            return this;
        }

        /** Adds a number field. */
        public Line number(String name, long value) {
            json.append(",\"").append(name).append("\":").append(value);
            return this;
        }

        /** Adds a boolean field. */
        public Line flag(String name, boolean value) {
            json.append(",\"").append(name).append("\":").append(value);
            return this;
        }

        /** Queues the line, or drops and counts it if the queue is full. */
        public void write() {
            if (!offer(toJson())) {
                droppedCount.incrementAndGet();
            }
        }

        private String toJson() {
            return json + "}";
        }
    }
}
