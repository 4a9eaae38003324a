package io.laburnummoor.agent.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import io.laburnummoor.agent.connection.UpstreamProbe;
import io.laburnummoor.core.connection.UpstreamReport;
import io.laburnummoor.core.process.AnswerJournal;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.JournalAppend;
import io.laburnummoor.core.request.JournalEntry;
import io.laburnummoor.core.request.JournalOpenRequest;
import io.laburnummoor.core.request.JournaledAnswer;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.wire.generated.AgentService;
import io.laburnummoor.wire.generated.AgentStatus;
import io.laburnummoor.wire.generated.AppendBatch;
import io.laburnummoor.wire.generated.AppendItem;
import io.laburnummoor.wire.generated.AppendOutcome;
import io.laburnummoor.wire.generated.AppendReply;
import io.laburnummoor.wire.generated.OpenReply;
import io.laburnummoor.wire.generated.OpenRequest;
import io.laburnummoor.wire.request.WireMessages;
import org.jspecify.annotations.Nullable;

/** Answers the Thrift calls of routers. */
final class AgentHandler implements AgentService.Iface {
    private final String agentId;
    private final UpstreamProbe probe;
    private final AnswerJournal journal;
    private final AtomicBoolean leaving = new AtomicBoolean();

    AgentHandler(String agentId, UpstreamProbe probe, AnswerJournal journal) {
        this.agentId = agentId;
        this.probe = probe;
        this.journal = journal;
    }

    /** Announces that the upstream takes no new work any more. */
    void announceLeaving() {
        leaving.set(true);
    }

    @Override
    public AgentStatus status(String caller) {
        UpstreamReport report = probe.report();
        return new AgentStatus(
                agentId,
                report.agentIncarnation(),
                report.upstreamAlive(),
                report.upstreamIncarnation(),
                leaving.get() || report.leaving(),
                report.runningCount(),
                report.waitingCount(),
                report.version(),
                report.adapters());
    }

    @Override
    public OpenReply openJournal(OpenRequest request) {
        RequestId id = WireMessages.fromWire(request.getId());
        return switch (request.getMode()) {
            case READ -> reply(true, journal.find(id));
            case TAKE_OVER -> {
                JournalEntry taken = journal.takeOver(id, request.getEpoch(), request.getWriter());
                yield reply(taken != null && taken.epoch() == request.getEpoch(), taken);
            }
            case WRITE -> {
                boolean accepted = journal.open(new JournalOpenRequest(
                        id,
                        request.getWriter(),
                        WireMessages.fromWire(request.getBinding()),
                        request.getBodyDigest(),
                        WireMessages.historyFromWire(request.getHistory()),
                        WireMessages.fromWire(request.getTokens()),
                        request.isCallerAttached()));
                yield reply(accepted, accepted ? null : journal.find(id));
            }
        };
    }

    @Override
    public AppendReply append(AppendBatch batch) {
        List<AppendOutcome> outcomes = new ArrayList<>(batch.getItemsSize());
        for (AppendItem item : batch.getItems()) {
            outcomes.add(AppendOutcome.valueOf(appendOne(item).name()));
        }
        return new AppendReply(outcomes);
    }

    private AnswerJournal.AppendResult appendOne(AppendItem item) {
        return journal.append(new JournalAppend(
                WireMessages.fromWire(item.getId()),
                item.getEpoch(),
                item.getOffset(),
                WireMessages.fromWire(item.getTokens()),
                item.isSetFinishReason() ? FinishReason.fromWireName(item.getFinishReason()) : null,
                item.isCallerAttached()));
    }

    private OpenReply reply(boolean accepted, @Nullable JournalEntry entry) {
        OpenReply reply = new OpenReply(accepted);
        if (entry != null) {
            reply.setFound(WireMessages.toWire(JournaledAnswer.of(entry, journal.isWriterAlive(entry))));
        }
        return reply;
    }
}
