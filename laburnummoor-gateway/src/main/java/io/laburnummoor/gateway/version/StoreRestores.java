package io.laburnummoor.gateway.version;

import io.laburnummoor.core.StoreVersion;
import io.laburnummoor.core.process.PromptPartRecorder;
import io.laburnummoor.gateway.process.DecisionLog;
import io.laburnummoor.gateway.process.GatewayMetrics;

/**
 * Recognises from the versions of complete reads that the store was restored from an older copy, and tells the owners
 * of stored data that the store may lack their latest writes. Used by the store thread only.
 */
final class StoreRestores {
    private static final long UNKNOWN_ERA = -1;

    private final RolloutFollower rolloutFollower;
    private final PromptPartRecorder promptPartRecorder;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private long era = UNKNOWN_ERA;

    StoreRestores(
            RolloutFollower rolloutFollower,
            PromptPartRecorder promptPartRecorder,
            DecisionLog log,
            GatewayMetrics metrics) {
        this.rolloutFollower = rolloutFollower;
        this.promptPartRecorder = promptPartRecorder;
        this.log = log;
        this.metrics = metrics;
    }

    /** Records the version of a complete read before its entries are applied; returns whether it is of a new era. */
    boolean recordRead(long version) {
        long before = era;
        long read = StoreVersion.eraOf(version);
        era = Math.max(before, read);
        if (before == UNKNOWN_ERA || read <= before) {
            return false;
        }
        rolloutFollower.onStoreRestored();
        promptPartRecorder.startEra(read);
        metrics.storeRestored();
        log.line("store_restored")
                .number("old_era", before)
                .number("new_era", read)
                .number("store_version", version)
                .write();
        return true;
    }
}
