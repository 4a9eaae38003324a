package review2;

import java.io.Closeable;
import java.io.IOException;

/** Daemon threads and the clock of a case. */
final class Threads {
    private Threads() {}

    /** A task that may fail, as when the other end closes its connection. */
    interface Task {
        void run() throws Exception;
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException ended) {
                        return;
                    } catch (Exception fault) {
                        System.err.println(name + ": " + fault);
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException ignored) {
            // Closed already.
        }
    }
}
