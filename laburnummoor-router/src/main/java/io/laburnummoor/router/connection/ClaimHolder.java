package io.laburnummoor.router.connection;

import java.util.List;

import io.laburnummoor.core.request.ClaimOutcome;
import io.laburnummoor.core.request.ClaimRecord;

/** A router, local or remote, that may hold partitions of the claim log. */
public interface ClaimHolder {
    /**
     * Commits commands of one partition and waits for their outcomes.
     *
     * @param takeOver whether the router should take the partition over because its current holder is unreachable
     * @throws io.laburnummoor.core.LaburnummoorException with code {@code peer_unreachable} if there is no reply; the
     *     commands may still take effect
     */
    Reply commit(int partition, boolean takeOver, List<ClaimRecord> commands);

    /**
     * The reply to a batch of commands.
     *
     * @param holder name of the holder; if it is not the router that replied, no command was executed
     * @param outcomes outcomes in the order of the commands, empty if no command was executed
     */
    record Reply(String holder, List<ClaimOutcome> outcomes) {}
}
