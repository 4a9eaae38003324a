package io.laburnummoor.wire.process;

import io.laburnummoor.core.process.Supervisor;
import io.laburnummoor.core.process.ThreadFailure;
import org.jboss.logging.Logger;

/** Logs what a supervisor does, for processes without a log of their own. */
public final class LoggedFailures implements Supervisor.Listener {
    private static final Logger LOGGER = Logger.getLogger(LoggedFailures.class);

    @Override
    public void threadFailed(ThreadFailure failure) {
        LOGGER.errorf(
                failure.cause(),
                "thread %s failed after %d ms and is started again, restart %d",
                failure.thread(),
                failure.ranMillis(),
                failure.restarts());
    }

    @Override
    public void processEnding(ThreadFailure failure, int status) {
        LOGGER.errorf(failure.cause(), "process ends with status %d: %s has ended", status, failure.thread());
    }
}
