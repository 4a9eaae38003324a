package io.laburnummoor.wire.process;

import java.util.List;
import java.util.concurrent.CountDownLatch;

import io.laburnummoor.core.Service;
import org.jboss.logging.Logger;

/** Starts the services of a process and stops them in reverse order when the process is asked to end. */
public final class StopSignal {
    private static final Logger LOGGER = Logger.getLogger(StopSignal.class);

    private StopSignal() {}

    /**
     * Starts the services in order and waits. SIGTERM and SIGINT stop them in reverse order; the process then ends with
     * status 0.
     */
    public static void runUntilStopped(List<Service> services) {
        CountDownLatch stopped = new CountDownLatch(1);
        Thread hook = new Thread(
                () -> {
                    stopAll(services);
                    stopped.countDown();
                    // A JVM that ends by a signal reports 128 + signal; a planned stop must report 0.
                    Runtime.getRuntime().halt(0);
                },
                "stop");
        services.forEach(Service::start);
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            stopped.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void stopAll(List<Service> services) {
        for (int i = services.size() - 1; i >= 0; i--) {
            try {
                services.get(i).stop();
            } catch (RuntimeException failure) {
                LOGGER.error("service did not stop cleanly", failure);
            }
        }
    }
}
