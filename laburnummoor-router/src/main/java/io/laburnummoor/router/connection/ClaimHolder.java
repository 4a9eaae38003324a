package io.laburnummoor.router.connection;

import java.util.List;

import io.laburnummoor.core.request.ClaimOutcome;
import io.laburnummoor.core.request.ClaimRecord;

/** A router that may hold partitions of the claim log; this router or another one. */
public interface ClaimHolder {
    /**
     * Commits commands of one partition and waits for the outcome.
     *
     * @param takeOver whether the caller could not reach the present holder
     * @throws io.laburnummoor.core.LaburnummoorException with code {@code peer_unreachable} if there is no answer; the
     *     commands may still take effect
     */
    Reply commit(int partition, boolean takeOver, List<ClaimRecord> commands);

    /**
     * An answer.
     *
     * @param holder name of the holder; if it is another router, nothing was done
     * @param outcomes outcomes in the order of the commands, empty if nothing was done
     */
    record Reply(String holder, List<ClaimOutcome> outcomes) {}
}
