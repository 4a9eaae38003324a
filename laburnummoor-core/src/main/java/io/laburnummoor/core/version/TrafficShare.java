package io.laburnummoor.core.version;

import io.laburnummoor.core.process.RendezvousHash;
import io.laburnummoor.core.request.RequestId;

/** Chooses the side of a rollout for a request by a stable hash, so that a retry gets the same side. */
public final class TrafficShare {
    private static final int PER_MILLE = 1_000;

    private TrafficShare() {}

    /** Returns whether the request belongs to the given share, in thousandths, of a rollout. */
    public static boolean includes(String rollout, RequestId request, int sharePerMille) {
        long hash = RendezvousHash.hash(rollout + "\n" + request);
        return Long.remainderUnsigned(hash, PER_MILLE) < sharePerMille;
    }
}
