package io.laburnummoor.gateway.version;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.OrderedRolloutController;
import io.laburnummoor.core.process.OrderedRollouts;
import io.laburnummoor.core.process.Supervisor;
import io.laburnummoor.core.version.OrderedPlan;
import io.laburnummoor.core.version.RolloutStep;
import io.laburnummoor.gateway.process.DecisionLog;
import io.laburnummoor.gateway.process.GatewaySettings;
import io.laburnummoor.gateway.process.GatewayState;
import io.laburnummoor.wire.process.PeriodicTask;

/** Evaluates ordered rollouts periodically on a thread of its own. */
public final class RolloutLoop implements Service, OrderedRolloutController.Listener {
    private static final long TICK_MILLIS = 500;

    private final OrderedRollouts rollouts;
    private final OrderedRolloutController controller;
    private final GatewayState state;
    private final DecisionLog log;
    private final Clock clock;
    private final PeriodicTask task;

    public RolloutLoop(
            KeyValueStore store,
            OrderedRollouts rollouts,
            OrderedRolloutController.StepDocuments documents,
            GatewaySettings settings,
            GatewayState state,
            DecisionLog log,
            Supervisor supervisor,
            Clock clock) {
        this.rollouts = rollouts;
        this.controller = new OrderedRolloutController(
                store, rollouts, documents, new OrderedPlan(settings.exposure()), settings.name(), this);
        this.state = state;
        this.log = log;
        this.clock = clock;
        this.task = new PeriodicTask("rollouts", TICK_MILLIS, supervisor, this::tick);
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
        rollouts.recordServing(state.instances(), clock.nowMillis());
        try {
            controller.tick(clock.nowMillis());
        } catch (LaburnummoorException unavailable) {
            log.line("rollout_waits_for_store")
                    .text("error", unavailable.getMessage())
                    .write();
        }
    }

    @Override
    public void onStepStored(String service, RolloutStep step, long trials) {
        log.line("rollout_step")
                .text("service", service)
                .text("target", step.targetVersion())
                .text("phase", step.phase().text())
                .number("share_per_mille", step.sharePerMille())
                .number("judged_answers", trials)
                .number("order", step.orderNumber())
                .write();
    }
}
