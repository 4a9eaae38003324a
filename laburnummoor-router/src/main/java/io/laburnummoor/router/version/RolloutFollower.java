package io.laburnummoor.router.version;

import java.util.List;
import java.util.Map;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.DeclaredRollouts;
import io.laburnummoor.core.process.EvidenceInbox;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.process.RolloutController;
import io.laburnummoor.core.process.RolloutStateCodec;
import io.laburnummoor.core.process.TrafficShares;
import io.laburnummoor.core.version.Comparison;
import io.laburnummoor.core.version.EvidenceRecorder;
import io.laburnummoor.core.version.RolloutDeclaration;
import io.laburnummoor.core.version.RolloutObserver;
import io.laburnummoor.core.version.RolloutObservers;
import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.core.version.Stratum;
import io.laburnummoor.router.connection.RolloutPeers;
import io.laburnummoor.wire.generated.EvidenceReply;
import io.laburnummoor.wire.generated.EvidenceReport;
import io.laburnummoor.wire.process.PeriodicTask;
import io.laburnummoor.wire.version.EvidenceMessages;
import org.jboss.logging.Logger;

/**
 * Follows rollouts on this router. Once a second it evaluates the router's own evidence, sends it to the controller,
 * reads rollout states and, if this router is the controller, advances them.
 *
 * <p>Each router reads one state from the store every 2 s, whatever the number of rollouts, and the lease every 5 s.
 * That is 280 reads/s from 400 routers, of the 2,000 that the store handles, and none while no rollout is declared.
 * Most states arrive earlier, with the controller's reply to an evidence report.
 */
public final class RolloutFollower implements Service {
    private static final Logger LOGGER = Logger.getLogger(RolloutFollower.class);
    private static final int READ_INTERVAL_PERIODS = 2;

    private final DeclaredRollouts declarations;
    private final RolloutObservers observers;
    private final TrafficShares shares;
    private final RolloutController controller;
    private final EvidenceInbox inbox;
    private final RolloutPeers peers;
    private final KeyValueStore store;
    private final RolloutStateCodec codec;
    private final RolloutNotifier notifier;
    private final String ownName;
    private final PeriodicTask task = new PeriodicTask("rollouts", EvidenceRecorder.PERIOD_MILLIS, this::runPeriod);
    private long periodCount;

    /** Creates the follower of a router. */
    public RolloutFollower(
            DeclaredRollouts declarations,
            RolloutObservers observers,
            TrafficShares shares,
            RolloutController controller,
            EvidenceInbox inbox,
            RolloutPeers peers,
            KeyValueStore store,
            RolloutStateCodec codec,
            RolloutNotifier notifier,
            String ownName) {
        this.declarations = declarations;
        this.observers = observers;
        this.shares = shares;
        this.controller = controller;
        this.inbox = inbox;
        this.peers = peers;
        this.store = store;
        this.codec = codec;
        this.notifier = notifier;
        this.ownName = ownName;
    }

    @Override
    public void start() {
        task.start();
    }

    @Override
    public void stop() {
        task.stop();
        peers.stop();
    }

    private void runPeriod() {
        List<RolloutDeclaration> declared = declarations.current();
        observers.replace(declared, peers.count()).forEach(this::processEvidence);
        try {
            if (!declared.isEmpty()) {
                readOneState(declared);
                controller.tick(declared);
            }
        } catch (LaburnummoorException outage) {
            LOGGER.warnf("rollouts make no step while the key-value service is unavailable: %s", outage.getMessage());
        }
        shares.recordPoll();
    }

    private void processEvidence(RolloutObserver observer) {
        String rollout = observer.declaration().name();
        Map<Stratum, Comparison> period = observer.recorder().drain();
        observer.halt().addEvidence(period);
        String reason = observer.halt().reason();
        if (reason != null && shares.halt(rollout, reason)) {
            LOGGER.warnf("rollout %s is halted on this router's evidence: %s", rollout, reason);
            peers.haltOnRouters(rollout, reason);
        }
        if (controller.isControlling()) {
            inbox.add(rollout, period);
        } else {
            report(rollout, period);
        }
    }

    private void report(String rollout, Map<Stratum, Comparison> period) {
        String controllerName = controller.controllerName();
        if (controllerName.isEmpty() || controllerName.equals(ownName)) {
            return;
        }
        EvidenceReport report = new EvidenceReport(ownName, rollout, EvidenceMessages.toWire(period));
        String reason = shares.haltReason(rollout);
        if (reason != null) {
            report.setBrakeReason(reason);
        }
        EvidenceReply reply = peers.report(controllerName, report);
        if (reply == null) {
            return;
        }
        if (reply.isSetState()) {
            accept(codec.decode(reply.getState()));
        }
        if (reply.isSetBrakeReason()) {
            shares.halt(rollout, reply.getBrakeReason());
        }
    }

    private void readOneState(List<RolloutDeclaration> declared) {
        // The controller reads all states every second, so that its replies to evidence reports are current.
        if (!controller.isControlling() && periodCount++ % READ_INTERVAL_PERIODS != 0) {
            return;
        }
        int index = (int) (periodCount / READ_INTERVAL_PERIODS % declared.size());
        List<RolloutDeclaration> wanted = controller.isControlling() ? declared : List.of(declared.get(index));
        for (RolloutDeclaration each : wanted) {
            VersionedValue value = store.get(RolloutController.key(each.name()));
            if (value != null) {
                RolloutState state = codec.decode(value.value());
                accept(state);
                if (controller.isControlling()) {
                    notifier.onPeriod(state);
                }
            }
        }
    }

    private void accept(RolloutState state) {
        RolloutState before = shares.state(state.name());
        shares.accept(state);
        if (before == null || before.change() < state.change()) {
            LOGGER.infof(
                    "rollout %s is %s, traffic share %d per mille",
                    state.name(), state.phase().text(), state.sharePerMille());
        }
    }
}
