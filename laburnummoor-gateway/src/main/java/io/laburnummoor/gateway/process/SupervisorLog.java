package io.laburnummoor.gateway.process;

import io.laburnummoor.core.process.Supervisor;
import io.laburnummoor.core.process.ThreadFailure;

/** Writes a log line for each thread that has failed, and for the end of the process that follows from it. */
public final class SupervisorLog implements Supervisor.Listener {
    private final DecisionLog log;
    private final GatewayState state;

    /** Creates a listener; the state is that of the process, of which the lines tell a part. */
    public SupervisorLog(DecisionLog log, GatewayState state) {
        this.log = log;
        this.state = state;
    }

    @Override
    public void threadFailed(ThreadFailure failure) {
        line("thread_failed", failure).write();
    }

    @Override
    public void processEnding(ThreadFailure failure, int status) {
        line("process_ending", failure).number("status", status).write();
        log.stop();
    }

    private DecisionLog.Line line(String event, ThreadFailure failure) {
        return log.line(event)
                .text("thread", failure.thread())
                .text("error", failure.error())
                .text("at", failure.place())
                .number("ran_ms", failure.ranMillis())
                .number("restarts", failure.restarts())
                .number("open_requests", state.openRequestCount())
                .flag("draining", state.isDraining());
    }
}
