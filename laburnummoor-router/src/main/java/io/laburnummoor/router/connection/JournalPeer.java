package io.laburnummoor.router.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.connection.Upstream;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.JournalAgent;
import io.laburnummoor.core.request.JournalAppend;
import io.laburnummoor.core.request.JournalListener;
import io.laburnummoor.core.request.JournalOpenRequest;
import io.laburnummoor.core.request.JournalReply;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.wire.connection.ThriftConnection;
import io.laburnummoor.wire.generated.AgentService;
import io.laburnummoor.wire.generated.AppendBatch;
import io.laburnummoor.wire.generated.AppendItem;
import io.laburnummoor.wire.generated.AppendOutcome;
import io.laburnummoor.wire.generated.OpenMode;
import io.laburnummoor.wire.generated.OpenReply;
import io.laburnummoor.wire.generated.OpenRequest;
import io.laburnummoor.wire.request.WireMessages;
import org.jspecify.annotations.Nullable;

/**
 * The connection to one agent that stores journals.
 *
 * <p>One thread sends. Appends of all requests that arrive while a batch is in flight form the next batch.
 */
public final class JournalPeer implements JournalAgent, Service {
    /** Reply timeout after which the journal moves to another agent. */
    static final int TIMEOUT_MILLIS = 250;

    private static final int MAX_BATCH_ITEMS = 1_000;

    private final Upstream agent;
    private final String routerName;
    private final boolean inOtherDomain;
    private final ThriftConnection<AgentService.Client> client;
    private final BlockingQueue<Work> queue = new LinkedBlockingQueue<>();
    private final Thread sender;

    /** Creates the connection from a router to an agent. */
    public JournalPeer(Upstream agent, String routerName, String routerFailureDomain) {
        this.agent = agent;
        this.routerName = routerName;
        this.inOtherDomain = !agent.failureDomain().equals(routerFailureDomain);
        this.client = new ThriftConnection<>(
                agent.host(), agent.agentPort(), TIMEOUT_MILLIS, "agent", AgentService.Client::new);
        this.sender = new Thread(this::run, "journal-" + agent.id());
        this.sender.setDaemon(true);
    }

    @Override
    public String id() {
        return agent.id();
    }

    @Override
    public boolean isInOtherFailureDomain() {
        return inOtherDomain;
    }

    @Override
    public void start() {
        sender.start();
    }

    @Override
    public void stop() {
        sender.interrupt();
    }

    @Override
    public void read(RequestId id, Consumer<@Nullable JournalReply> replyHandler) {
        queue.add(new OpenWork(new OpenRequest(WireMessages.toWire(id), OpenMode.READ), replyHandler));
    }

    @Override
    public void takeOver(RequestId id, long epoch, String writer, Consumer<@Nullable JournalReply> replyHandler) {
        OpenRequest request = new OpenRequest(WireMessages.toWire(id), OpenMode.TAKE_OVER);
        request.setEpoch(epoch);
        request.setWriter(writer);
        queue.add(new OpenWork(request, replyHandler));
    }

    @Override
    public void open(JournalOpenRequest opening, Consumer<@Nullable JournalReply> replyHandler) {
        OpenRequest request = new OpenRequest(WireMessages.toWire(opening.id()), OpenMode.WRITE);
        request.setWriter(opening.writer());
        request.setBinding(WireMessages.toWire(opening.binding()));
        request.setBodyDigest(opening.bodyDigest());
        request.setTokens(WireMessages.toWire(opening.tokens()));
        request.setHistory(WireMessages.historyToWire(opening.history()));
        request.setCallerAttached(opening.callerAttached());
        queue.add(new OpenWork(request, replyHandler));
    }

    @Override
    public void append(JournalAppend append, JournalListener listener) {
        queue.add(new AppendWork(append, listener));
    }

    private void run() {
        List<Work> batch = new ArrayList<>();
        try {
            while (!Thread.currentThread().isInterrupted()) {
                batch.add(queue.take());
                queue.drainTo(batch, MAX_BATCH_ITEMS - 1);
                send(batch);
                batch.clear();
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            client.close();
        }
    }

    /** Sends opens one by one, then appends as one batch. The queue never holds both kinds for one request. */
    private void send(List<Work> batch) {
        List<AppendWork> appends = new ArrayList<>();
        for (Work work : batch) {
            if (work instanceof OpenWork open) {
                sendOpen(open);
            } else if (work instanceof AppendWork append) {
                appends.add(append);
            }
        }
        if (!appends.isEmpty()) {
            sendAppends(appends);
        }
    }

    private void sendOpen(OpenWork open) {
        JournalReply reply = null;
        try {
            OpenReply answered = client.call(agentService -> agentService.openJournal(open.request));
            reply = new JournalReply(
                    answered.isAccepted(), answered.isSetFound() ? WireMessages.fromWire(answered.getFound()) : null);
        } catch (LaburnummoorException unanswered) {
            // A null reply tells the request that the agent did not answer.
        }
        open.replyHandler.accept(reply);
    }

    private void sendAppends(List<AppendWork> appends) {
        AppendBatch batch = new AppendBatch(routerName, new ArrayList<>(appends.size()));
        appends.forEach(append -> batch.addToItems(append.encode()));
        List<AppendOutcome> outcomes;
        try {
            outcomes = client.call(agentService -> agentService.append(batch)).getOutcomes();
        } catch (LaburnummoorException unanswered) {
            appends.forEach(append -> append.listener.onLost());
            return;
        }
        for (int i = 0; i < appends.size(); i++) {
            appends.get(i).complete(outcomes.get(i));
        }
    }

    private interface Work {}

    private record OpenWork(OpenRequest request, Consumer<@Nullable JournalReply> replyHandler) implements Work {}

    private record AppendWork(JournalAppend append, JournalListener listener) implements Work {

        AppendItem encode() {
            AppendItem item = new AppendItem(
                    WireMessages.toWire(append.id()),
                    append.epoch(),
                    append.offset(),
                    WireMessages.toWire(append.tokens()),
                    append.callerAttached());
            FinishReason reason = append.finishReason();
            if (reason != null) {
                item.setFinishReason(reason.wireName());
            }
            return item;
        }

        void complete(AppendOutcome outcome) {
            if (outcome == AppendOutcome.ACKNOWLEDGED) {
                listener.onAcknowledged(append.offset() + append.tokens().size(), append.finishReason() != null);
            } else if (outcome == AppendOutcome.FENCED) {
                listener.onFenced();
            } else {
                listener.onLost();
            }
        }
    }
}
