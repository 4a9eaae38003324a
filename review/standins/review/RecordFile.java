package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, in order of time. */
final class RecordFile implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    RecordFile(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String text) {
        String line = String.format("%8.3f  %s", seconds(), text);
        out.println(line);
        out.flush();
    }

    /** A line that also goes to the terminal. */
    void say(String text) {
        line(text);
        System.out.println(String.format("%8.3f  %s", seconds(), text));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
