package io.laburnummoor.gateway.version;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.PromptPartRecorder;
import io.laburnummoor.core.process.Supervisor;
import io.laburnummoor.gateway.process.DecisionLog;
import io.laburnummoor.wire.process.PeriodicTask;

/** Keeps the blocked prompt parts in the store, on a thread of its own. */
public final class QuarantineLoop implements Service {
    private static final long TICK_MILLIS = 500;

    private final PromptPartRecorder recorder;
    private final DecisionLog log;
    private final PeriodicTask task;

    public QuarantineLoop(PromptPartRecorder recorder, DecisionLog log, Supervisor supervisor) {
        this.recorder = recorder;
        this.log = log;
        this.task = new PeriodicTask("quarantine", TICK_MILLIS, supervisor, this::tick);
    }

    @Override
    public void start() {
        task.start();
    }

    @Override
    public void stop() {
        task.stop();
    }

    private void tick() {
        try {
            recorder.tick();
        } catch (LaburnummoorException unavailable) {
            log.line("quarantine_not_stored")
                    .text("error", unavailable.getMessage())
                    .write();
        }
    }
}
