package io.laburnummoor.router.process;

import java.util.List;

import io.laburnummoor.core.request.ClaimRecord;
import io.laburnummoor.core.request.ClaimState;
import io.laburnummoor.router.connection.ClaimHolder;
import io.laburnummoor.wire.generated.ClaimBatch;
import io.laburnummoor.wire.generated.ClaimBatchReply;
import io.laburnummoor.wire.generated.ClaimService;
import io.laburnummoor.wire.request.ClaimMessages;

/** Serves claim batches of other routers for the partitions that this router holds. */
final class ClaimServiceHandler implements ClaimService.Iface {
    private final ClaimHolder holder;

    ClaimServiceHandler(ClaimHolder holder) {
        this.holder = holder;
    }

    @Override
    public ClaimBatchReply claim(ClaimBatch batch) {
        return commit(batch, ClaimState.CLAIMED);
    }

    @Override
    public ClaimBatchReply completeClaim(ClaimBatch batch) {
        return commit(batch, ClaimState.DONE);
    }

    @Override
    public ClaimBatchReply releaseClaim(ClaimBatch batch) {
        return commit(batch, ClaimState.RELEASED);
    }

    private ClaimBatchReply commit(ClaimBatch batch, ClaimState state) {
        List<ClaimRecord> commands = batch.getItems().stream()
                .map(item -> ClaimMessages.decode(item, state))
                .toList();
        ClaimHolder.Reply reply = holder.commit(batch.getPartition(), batch.isTakeOver(), commands);
        return new ClaimBatchReply(
                reply.holder(),
                reply.outcomes().stream().map(ClaimMessages::encode).toList());
    }
}
