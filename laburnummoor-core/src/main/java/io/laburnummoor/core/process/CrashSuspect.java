package io.laburnummoor.core.process;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.connection.CrashRecord;

/**
 * A request, known by its fingerprint, that ran on upstreams when they crashed; immutable. Merging is commutative and
 * idempotent, so that routers agree regardless of the order of their messages.
 *
 * @param fingerprint digest of service and body
 * @param crashes counted crashes, at most one for each upstream
 * @param clearedAtMillis wall-clock time up to which crashes do not count, because the request later completed (see
 *     {@link CrashSuspectTable#recordSuccess} and {@link CrashSuspectTable#recordIsolatedSuccess})
 * @param deadlineMillis wall-clock time at which this entry expires
 */
public record CrashSuspect(String fingerprint, List<CrashRecord> crashes, long clearedAtMillis, long deadlineMillis) {
    /** Crashes on this many upstreams block a request, if one of them happened while it ran alone. */
    public static final int BLOCKING_CRASHES = 3;
    /**
     * Crashes on this many upstreams block a request even if it never ran alone: when no upstream can be kept free for
     * it, a harmful request would otherwise crash upstreams indefinitely.
     */
    public static final int BLOCKING_CRASHES_UNISOLATED = 6;

    /** Limits the memory of an entry. The latest crashes are kept; they are enough to block the request. */
    static final int MAX_CRASHES = 8;

    /** After crashes on this many upstreams, the next attempt runs alone. */
    static final int ISOLATION_CRASHES = 2;

    private static final Comparator<CrashRecord> LATEST_FIRST =
            Comparator.comparingLong(CrashRecord::crashedAtMillis).reversed().thenComparing(CrashRecord::upstreamId);

    /** Returns an entry without crashes. */
    static CrashSuspect withoutCrashes(String fingerprint) {
        return new CrashSuspect(fingerprint, List.of(), 0, 0);
    }

    /** Returns whether the request must no longer run. */
    public boolean isBlocked() {
        return crashes.size() >= BLOCKING_CRASHES_UNISOLATED
                || (crashes.size() >= BLOCKING_CRASHES && crashes.stream().anyMatch(CrashRecord::isolated));
    }

    boolean needsIsolation() {
        return crashes.size() >= ISOLATION_CRASHES;
    }

    boolean hasCrashes() {
        return !crashes.isEmpty();
    }

    /** Returns whether the entry tells another router anything: it has crashes or was cleared. */
    boolean hasEvidence() {
        return hasCrashes() || clearedAtMillis > 0;
    }

    CrashSuspect withDeadline(long newDeadlineMillis) {
        return merge(new CrashSuspect(fingerprint, List.of(), clearedAtMillis, newDeadlineMillis));
    }

    CrashSuspect withCrash(CrashRecord crash, long newDeadlineMillis) {
        return merge(new CrashSuspect(fingerprint, List.of(crash), clearedAtMillis, newDeadlineMillis));
    }

    CrashSuspect withClearedAt(long atMillis, long newDeadlineMillis) {
        return merge(new CrashSuspect(fingerprint, List.of(), atMillis, newDeadlineMillis));
    }

    CrashSuspect merge(CrashSuspect other) {
        long cleared = Math.max(clearedAtMillis, other.clearedAtMillis);
        Map<String, CrashRecord> byUpstream = new LinkedHashMap<>();
        addAfter(cleared, crashes, byUpstream);
        addAfter(cleared, other.crashes, byUpstream);
        return new CrashSuspect(
                fingerprint, latest(byUpstream.values()), cleared, Math.max(deadlineMillis, other.deadlineMillis));
    }

    private static List<CrashRecord> latest(Collection<CrashRecord> crashes) {
        if (crashes.size() <= MAX_CRASHES) {
            return List.copyOf(crashes);
        }
        return crashes.stream().sorted(LATEST_FIRST).limit(MAX_CRASHES).toList();
    }

    private static void addAfter(long clearedAtMillis, List<CrashRecord> added, Map<String, CrashRecord> byUpstream) {
        for (CrashRecord each : added) {
            if (each.crashedAtMillis() > clearedAtMillis) {
                byUpstream.merge(each.upstreamId(), each, CrashSuspect::stronger);
            }
        }
    }

    /** Returns which of two crashes on one upstream counts: the isolated one, otherwise the later one. */
    private static CrashRecord stronger(CrashRecord one, CrashRecord other) {
        if (one.isolated() != other.isolated()) {
            return one.isolated() ? one : other;
        }
        return one.crashedAtMillis() >= other.crashedAtMillis() ? one : other;
    }
}
