package io.laburnummoor.router.connection;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.request.ClaimOutcome;
import io.laburnummoor.core.request.ClaimRecord;
import io.laburnummoor.core.request.ClaimState;
import io.laburnummoor.wire.connection.ThriftConnection;
import io.laburnummoor.wire.generated.ClaimBatch;
import io.laburnummoor.wire.generated.ClaimBatchReply;
import io.laburnummoor.wire.generated.ClaimService;
import io.laburnummoor.wire.request.ClaimMessages;

/** Commits claim commands on another router over Thrift. Used by one thread at a time. */
public final class RemoteClaimHolder implements ClaimHolder, AutoCloseable {
    /** Name under which a router registers the claim service. */
    public static final String SERVICE_NAME = "claims";

    private static final int TIMEOUT_MILLIS = 1_500;

    private final RouterPeer peer;
    private final ThriftConnection<ClaimService.Client> connection;

    /** Creates a holder whose connection is opened by the first call. */
    public RemoteClaimHolder(RouterPeer peer) {
        this.peer = peer;
        this.connection = new ThriftConnection<>(
                peer.host(), peer.peerPort(), TIMEOUT_MILLIS, SERVICE_NAME, ClaimService.Client::new);
    }

    @Override
    public Reply commit(int partition, boolean takeOver, List<ClaimRecord> commands) {
        List<ClaimOutcome> outcomes =
                new ArrayList<>(Collections.nCopies(commands.size(), ClaimOutcome.of(ClaimOutcome.Kind.UNAVAILABLE)));
        for (ClaimState state : ClaimState.values()) {
            List<Integer> positions = new ArrayList<>();
            ClaimBatch batch = new ClaimBatch(partition, takeOver, new ArrayList<>());
            for (int i = 0; i < commands.size(); i++) {
                if (commands.get(i).state() == state) {
                    positions.add(i);
                    batch.addToItems(ClaimMessages.encode(commands.get(i)));
                }
            }
            if (positions.isEmpty()) {
                continue;
            }
            ClaimBatchReply reply = send(state, batch);
            if (!reply.getHolder().equals(peer.name())) {
                return new Reply(reply.getHolder(), List.of());
            }
            for (int i = 0; i < positions.size(); i++) {
                outcomes.set(
                        positions.get(i),
                        ClaimMessages.decode(reply.getReplies().get(i)));
            }
        }
        return new Reply(peer.name(), outcomes);
    }

    @Override
    public void close() {
        connection.close();
    }

    private ClaimBatchReply send(ClaimState state, ClaimBatch batch) {
        return connection.call(client -> switch (state) {
            case CLAIMED -> client.claim(batch);
            case DONE -> client.completeClaim(batch);
            case RELEASED -> client.releaseClaim(batch);
        });
    }
}
