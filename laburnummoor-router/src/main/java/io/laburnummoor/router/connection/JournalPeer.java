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
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.request.Token;
import io.laburnummoor.wire.connection.ThriftConnection;
import io.laburnummoor.wire.generated.AgentService;
import io.laburnummoor.wire.generated.AppendBatch;
import io.laburnummoor.wire.generated.AppendItem;
import io.laburnummoor.wire.generated.AppendOutcome;
import io.laburnummoor.wire.generated.OpenReply;
import io.laburnummoor.wire.generated.OpenRequest;
import io.laburnummoor.wire.request.WireMessages;
import org.jspecify.annotations.Nullable;

/**
 * The connection to one agent that keeps journals.
 *
 * <p>One thread sends; appends of many requests that arrive while a batch is in flight form the next batch.
 */
public final class JournalPeer implements Service {
    /** Time without an answer after which the journal moves to another agent. */
    static final int TIMEOUT_MILLIS = 250;

    private static final int MAX_BATCH_ITEMS = 1_000;

    private final Upstream agent;
    private final String routerName;
    private final ThriftConnection<AgentService.Client> client;
    private final BlockingQueue<Work> queue = new LinkedBlockingQueue<>();
    private final Thread sender;

    /** Creates the connection of a router to an agent. */
    public JournalPeer(Upstream agent, String routerName) {
        this.agent = agent;
        this.routerName = routerName;
        this.client = new ThriftConnection<>(
                agent.host(), agent.agentPort(), TIMEOUT_MILLIS, "agent", AgentService.Client::new);
        this.sender = new Thread(this::run, "journal-" + agent.id());
        this.sender.setDaemon(true);
    }

    /** Returns the agent of this connection. */
    public Upstream agent() {
        return agent;
    }

    @Override
    public void start() {
        sender.start();
    }

    @Override
    public void stop() {
        sender.interrupt();
    }

    /** Opens or reads an entry; the reply is null if the agent did not answer. */
    public void open(OpenRequest request, Consumer<@Nullable OpenReply> replyHandler) {
        queue.add(new OpenWork(request, replyHandler));
    }

    /** Appends tokens and, unless the reason is null, the end. */
    public void append(
            RequestId id,
            long epoch,
            int offset,
            List<Token> tokens,
            @Nullable FinishReason reason,
            JournalListener listener) {
        queue.add(new AppendWork(id, epoch, offset, tokens, reason, listener));
    }

    private void run() {
        List<Work> taken = new ArrayList<>();
        try {
            while (!Thread.currentThread().isInterrupted()) {
                taken.add(queue.take());
                queue.drainTo(taken, MAX_BATCH_ITEMS - 1);
                send(taken);
                taken.clear();
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            client.close();
        }
    }

    /** Sends opens one by one and appends as one batch; work of one request never holds both at once. */
    private void send(List<Work> works) {
        List<AppendWork> appends = new ArrayList<>();
        for (Work work : works) {
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
        OpenReply reply = null;
        try {
            reply = client.call(agentService -> agentService.openJournal(open.request));
        } catch (LaburnummoorException unanswered) {
            // The reply stays null, which tells the request that the agent did not answer.
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

    private record OpenWork(OpenRequest request, Consumer<@Nullable OpenReply> replyHandler) implements Work {}

    private record AppendWork(
            RequestId id,
            long epoch,
            int offset,
            List<Token> tokens,
            @Nullable FinishReason reason,
            JournalListener listener)
            implements Work {

        AppendItem encode() {
            AppendItem item = new AppendItem(WireMessages.toWire(id), epoch, offset, WireMessages.toWire(tokens));
            if (reason != null) {
                item.setFinishReason(reason.wireName());
            }
            return item;
        }

        void complete(AppendOutcome outcome) {
            if (outcome == AppendOutcome.ACKNOWLEDGED) {
                listener.onAcknowledged(offset + tokens.size(), reason != null);
            } else if (outcome == AppendOutcome.FENCED) {
                listener.onFenced();
            } else {
                listener.onLost();
            }
        }
    }
}
