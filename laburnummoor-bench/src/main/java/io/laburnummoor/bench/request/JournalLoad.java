package io.laburnummoor.bench.request;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.request.Binding;
import io.laburnummoor.core.request.Token;
import io.laburnummoor.wire.connection.ThriftConnection;
import io.laburnummoor.wire.generated.AgentService;
import io.laburnummoor.wire.generated.AppendBatch;
import io.laburnummoor.wire.generated.AppendItem;
import io.laburnummoor.wire.generated.OpenMode;
import io.laburnummoor.wire.generated.OpenRequest;
import io.laburnummoor.wire.generated.WireEpochSpan;
import io.laburnummoor.wire.generated.WireRequestId;
import io.laburnummoor.wire.request.WireMessages;

/** Keeps a number of answers in the journal of one agent and appends one token to each at a time. */
public final class JournalLoad {
    private static final Binding BINDING = new Binding("drafter", "v1", "", 1);
    private static final String WRITER = "router-sapporo-1";

    private final ThriftConnection<AgentService.Client> agent;
    private final List<WireRequestId> ids = new ArrayList<>();
    private int offset;

    /** Opens the given number of answers. */
    public JournalLoad(ThriftConnection<AgentService.Client> agent, String name, int answerCount) {
        this.agent = agent;
        for (int i = 0; i < answerCount; i++) {
            WireRequestId id = new WireRequestId("office", name + "-" + i);
            ids.add(id);
            OpenRequest open = new OpenRequest(id, OpenMode.WRITE);
            open.setHistory(List.of(new WireEpochSpan(1, 0)));
            open.setCallerAttached(true);
            open.setWriter(WRITER);
            open.setBinding(WireMessages.toWire(BINDING));
            open.setBodyDigest("digest");
            open.setTokens(List.of());
            agent.call(client -> client.openJournal(open));
        }
    }

    /** Appends one token to each answer in one batch. */
    public void appendOne() {
        AppendBatch batch = nextBatch();
        agent.call(client -> client.append(batch));
    }

    /** Returns the batch that appends one token to each answer. */
    public AppendBatch nextBatch() {
        AppendBatch batch = new AppendBatch(WRITER, new ArrayList<>());
        for (WireRequestId id : ids) {
            batch.addToItems(
                    new AppendItem(id, 1, offset, WireMessages.toWire(List.of(new Token(offset, " word"))), true));
        }
        offset++;
        return batch;
    }
}
