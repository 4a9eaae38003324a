package io.laburnummoor.wire.process;

import java.util.List;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.GuardedTask;
import io.laburnummoor.core.process.Supervisor;
import io.laburnummoor.core.process.ThreadFailure;
import org.jboss.logging.Logger;

/** Starts the services of a process and stops them in reverse order when the process is asked to end. */
public final class StopSignal {
    private static final Logger LOGGER = Logger.getLogger(StopSignal.class);

    private StopSignal() {}

    /** Returns a supervisor for processes without a log of their own. */
    public static Supervisor newSupervisor() {
        return new Supervisor(Clock.monotonic(), new LoggedFailures(), Runtime.getRuntime()::halt);
    }

    /** Runs the services of a process without a log of its own until it is asked to end. */
    public static void runUntilStopped(List<Service> services) {
        runUntilStopped(services, newSupervisor());
    }

    /**
     * Starts the services in order and waits. SIGTERM and SIGINT stop them in reverse order; the process then ends with
     * status 0, or with {@link Supervisor#FAILURE_STATUS} if the supervisor ends it.
     */
    public static void runUntilStopped(List<Service> services, Supervisor supervisor) {
        Thread hook = new Thread(
                () -> {
                    stopAll(services);
                    // A JVM that ends by a signal reports 128 + signal; a planned stop must report 0.
                    Runtime.getRuntime().halt(0);
                },
                "stop");
        try {
            services.forEach(Service::start);
            Runtime.getRuntime().addShutdownHook(hook);
        } catch (Throwable failure) {
            supervisor.ended(new ThreadFailure("main", failure, 0, 0));
        }
        supervisor.awaitFailure();
    }

    static void stopAll(List<Service> services) {
        for (int i = services.size() - 1; i >= 0; i--) {
            Service each = services.get(i);
            new GuardedTask(each::stop, failure -> LOGGER.error("service did not stop cleanly", failure)).run();
        }
    }
}
