package io.laburnummoor.core.process;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.connection.CrashRecord;

/** The counted crashes by fingerprint that this router knows, its own and those of other routers. */
public final class SuspectTable {
    /** Time that a crash is remembered. */
    static final long RETENTION_MILLIS = 600_000;
    /** Bound on remembered fingerprints; those that expire soonest are dropped first. */
    static final int MAX_SUSPECTS = 1_000;

    private final Clock wallClock;
    private final ConcurrentHashMap<String, Suspect> suspects = new ConcurrentHashMap<>();

    /** Creates an empty table. */
    public SuspectTable(Clock wallClock) {
        this.wallClock = wallClock;
    }

    /** Counts a crash of an upstream while a request ran there. */
    public void recordCrash(String fingerprint, CrashRecord crash) {
        long deadlineMillis = wallClock.nowMillis() + RETENTION_MILLIS;
        suspects.compute(fingerprint, (key, known) -> (known == null ? Suspect.unknown(key) : known)
                .withCrash(crash, deadlineMillis));
    }

    /** Records that a request ran alone to its end: its earlier crashes were caused by others. */
    void recordInnocence(String fingerprint) {
        long nowMillis = wallClock.nowMillis();
        suspects.computeIfPresent(fingerprint, (key, known) -> known.cleared(nowMillis, nowMillis + RETENTION_MILLIS));
    }

    /** Takes over what another router knows. */
    public void merge(List<Suspect> received) {
        for (Suspect each : received) {
            if (wallClock.nowMillis() < each.deadlineMillis()) {
                suspects.merge(each.fingerprint(), each, Suspect::merge);
            }
        }
    }

    /** Forgets what has expired, and what exceeds the bound. */
    public void expire() {
        long wallMillis = wallClock.nowMillis();
        suspects.values().removeIf(each -> wallMillis >= each.deadlineMillis());
        int excess = suspects.size() - MAX_SUSPECTS;
        if (excess > 0) {
            suspects.values().stream()
                    .sorted(Comparator.comparing(Suspect::isBlocked).thenComparing(Suspect::deadlineMillis))
                    .limit(excess)
                    .map(Suspect::fingerprint)
                    .toList()
                    .forEach(suspects::remove);
        }
    }

    /** Returns the latest suspects for other routers, the blocked ones first. */
    public List<Suspect> latest(int maxCount) {
        return suspects.values().stream()
                .sorted(Comparator.comparing(Suspect::isBlocked)
                        .thenComparing(Suspect::deadlineMillis)
                        .reversed())
                .limit(maxCount)
                .toList();
    }

    /** Returns whether a request must not run. */
    public boolean isBlocked(String fingerprint) {
        Suspect known = suspects.get(fingerprint);
        return known != null && known.isBlocked();
    }

    /** Returns whether no crash is counted against any request. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns the number of crashes counted against a request. */
    public int crashCount(String fingerprint) {
        Suspect known = suspects.get(fingerprint);
        return known == null ? 0 : known.crashes().size();
    }

    /** Returns the number of blocked fingerprints. */
    long blockedCount() {
        return suspects.values().stream().filter(Suspect::isBlocked).count();
    }
}
