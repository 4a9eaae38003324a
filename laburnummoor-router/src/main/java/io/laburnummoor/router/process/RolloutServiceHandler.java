package io.laburnummoor.router.process;

import io.laburnummoor.core.process.EvidenceInbox;
import io.laburnummoor.core.process.RolloutController;
import io.laburnummoor.core.process.RolloutStateCodec;
import io.laburnummoor.core.process.TrafficShares;
import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.wire.generated.EvidenceReply;
import io.laburnummoor.wire.generated.EvidenceReport;
import io.laburnummoor.wire.generated.RolloutService;
import io.laburnummoor.wire.version.EvidenceMessages;

/** Receives rollout evidence and rollout halts from other routers, and replies with the known state. */
final class RolloutServiceHandler implements RolloutService.Iface {
    private final RolloutController controller;
    private final TrafficShares shares;
    private final EvidenceInbox inbox;
    private final RolloutStateCodec codec;

    RolloutServiceHandler(
            RolloutController controller, TrafficShares shares, EvidenceInbox inbox, RolloutStateCodec codec) {
        this.controller = controller;
        this.shares = shares;
        this.inbox = inbox;
        this.codec = codec;
    }

    @Override
    public EvidenceReply report(EvidenceReport report) {
        String rollout = report.getRollout();
        boolean controlling = controller.isControlling();
        if (controlling) {
            inbox.add(rollout, EvidenceMessages.fromWire(report.getComparisons()));
        }
        if (report.isSetBrakeReason()) {
            shares.halt(rollout, report.getBrakeReason());
        }
        EvidenceReply reply = new EvidenceReply(controlling);
        RolloutState state = shares.state(rollout);
        if (state != null) {
            reply.setState(codec.encode(state));
        }
        String reason = shares.haltReason(rollout);
        if (reason != null) {
            reply.setBrakeReason(reason);
        }
        return reply;
    }

    @Override
    public void applyBrake(String rollout, String reason) {
        shares.halt(rollout, reason);
    }
}
