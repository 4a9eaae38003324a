package io.laburnummoor.core.version;

import io.laburnummoor.core.process.RendezvousHash;
import io.laburnummoor.core.request.RequestId;

/** Assigns requests to the versions of a rollout by a stable hash, so that a retry gets the same version. */
public final class VersionAssignment {
    private static final int PER_MILLE = 1_000;

    private VersionAssignment() {}

    /** Returns whether a request belongs to the new version's traffic share, given in thousandths. */
    public static boolean assignsNewVersion(String rollout, RequestId request, int sharePerMille) {
        long hash = RendezvousHash.hash(rollout + "\n" + request);
        return Long.remainderUnsigned(hash, PER_MILLE) < sharePerMille;
    }
}
