package io.laburnummoor.core.process;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.connection.CrashRecord;

/**
 * Crash suspects by fingerprint, from this router and as reported by other routers. The gateway uses it directly; on a
 * router, {@link Quarantine} decides which losses count as crashes. Used by any thread.
 */
public final class CrashSuspectTable {
    /** Time for which a crash is kept. */
    static final long RETENTION_MILLIS = 600_000;
    /** Time for which a loss waits for its confirmation, which takes less than a second unless the router is busy. */
    static final long LOSS_RETENTION_MILLIS = 10_000;
    /** Maximum number of suspects; among those not blocked, the ones that expire soonest are removed first. */
    static final int MAX_SUSPECTS = 1_000;

    private final Clock wallClock;
    private final ConcurrentHashMap<String, CrashSuspect> suspects = new ConcurrentHashMap<>();

    public CrashSuspectTable(Clock wallClock) {
        this.wallClock = wallClock;
    }

    /** Counts a crash of an upstream while a request ran there. */
    public void recordCrash(String fingerprint, CrashRecord crash) {
        long deadlineMillis = wallClock.nowMillis() + RETENTION_MILLIS;
        suspects.compute(fingerprint, (key, known) -> (known == null ? CrashSuspect.withoutCrashes(key) : known)
                .withCrash(crash, deadlineMillis));
    }

    /** Records that a request ran alone and completed, which clears it: its earlier crashes were caused by others. */
    void recordIsolatedSuccess(String fingerprint) {
        long nowMillis = wallClock.nowMillis();
        suspects.computeIfPresent(
                fingerprint, (key, known) -> known.withClearedAt(nowMillis, nowMillis + RETENTION_MILLIS));
    }

    /**
     * Records that the connection to an upstream was lost while a request ran there, and that a crash may be counted
     * once it is confirmed. Until then, a success of the request is remembered.
     */
    public void recordLoss(String fingerprint) {
        long deadlineMillis = wallClock.nowMillis() + LOSS_RETENTION_MILLIS;
        suspects.compute(fingerprint, (key, known) -> (known == null ? CrashSuspect.withoutCrashes(key) : known)
                .withDeadline(deadlineMillis));
    }

    /**
     * Records that a request ran to a good end, which clears it of earlier crashes: one that crashes upstreams never
     * does. Does not extend the retention, so that the table of a router becomes empty again while the request goes on
     * succeeding.
     */
    public void recordSuccess(String fingerprint) {
        long nowMillis = wallClock.nowMillis();
        suspects.computeIfPresent(fingerprint, (key, known) -> known.withClearedAt(nowMillis, known.deadlineMillis()));
    }

    /** Merges the suspects that another router reported. */
    public void merge(List<CrashSuspect> received) {
        for (CrashSuspect each : received) {
            if (wallClock.nowMillis() < each.deadlineMillis()) {
                suspects.merge(each.fingerprint(), each, CrashSuspect::merge);
            }
        }
    }

    /** Removes expired suspects and those in excess of {@link #MAX_SUSPECTS}. */
    public void expire() {
        long wallMillis = wallClock.nowMillis();
        suspects.values().removeIf(each -> wallMillis >= each.deadlineMillis());
        int excess = suspects.size() - MAX_SUSPECTS;
        if (excess > 0) {
            suspects.values().stream()
                    .sorted(Comparator.comparing(CrashSuspect::isBlocked).thenComparing(CrashSuspect::deadlineMillis))
                    .limit(excess)
                    .map(CrashSuspect::fingerprint)
                    .toList()
                    .forEach(suspects::remove);
        }
    }

    /**
     * Returns the latest suspects to report to other routers, the blocked ones first. Cleared ones come last: a router
     * that does not learn of a success waits for its own, but one that does not learn of crashes loses upstreams.
     */
    public List<CrashSuspect> latest(int maxCount) {
        return suspects.values().stream()
                .filter(CrashSuspect::hasEvidence)
                .sorted(Comparator.comparing(CrashSuspect::isBlocked)
                        .thenComparing(CrashSuspect::hasCrashes)
                        .thenComparing(CrashSuspect::deadlineMillis)
                        .reversed())
                .limit(maxCount)
                .toList();
    }

    /** Returns whether a request must not run. */
    public boolean isBlocked(String fingerprint) {
        CrashSuspect known = suspects.get(fingerprint);
        return known != null && known.isBlocked();
    }

    /** Returns whether no crash is counted against any request. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns the number of crashes counted against a request. */
    public int crashCount(String fingerprint) {
        CrashSuspect known = suspects.get(fingerprint);
        return known == null ? 0 : known.crashes().size();
    }

    /** Returns the number of blocked fingerprints. */
    long blockedCount() {
        return suspects.values().stream().filter(CrashSuspect::isBlocked).count();
    }
}
