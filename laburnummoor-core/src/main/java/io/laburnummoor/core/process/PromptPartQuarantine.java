package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.connection.PromptPartCrash;

/**
 * Keeps requests from running whose prompt shares a part that crashes upstreams, whatever else the requests hold.
 * Evidence against a part: upstreams that crashed while a request with it had not produced output. Evidence for it: any
 * request with it that produced output later. Holds the evidence of this router and what other routers reported.
 * Requests of all event loops read an immutable snapshot of the blocked parts.
 */
public final class PromptPartQuarantine {
    /** Time for which crashes count, and a part that crashed upstreams in all trials stays blocked. */
    static final long RETENTION_MILLIS = 3_600_000;
    /** Time for which the other routers are told that a suspect part has produced output. */
    static final long CLEARED_RETENTION_MILLIS = 30_000;
    /** Maximum number of suspects; those with the fewest crashes are removed first. */
    static final int MAX_SUSPECTS = 1_000;
    /** Maximum number of suspects in a report, which is part of a datagram. */
    static final int MAX_REPORTED = 4;
    /** Maximum number of crashes in a report; at most those of one suspect. */
    static final int MAX_REPORTED_CRASHES = SuspectPromptPart.MAX_CRASHES;
    /** Time for which a part that produced output is remembered. */
    static final long BEGUN_RETENTION_MILLIS = 600_000;
    /** Maximum number of remembered parts that produced output. */
    static final int MAX_BEGUN = 20_000;
    /** A trial that has not ended by then, such as one whose caller left, no longer holds up the next one. */
    static final long TRIAL_MILLIS = 20_000;

    /** Callers are told to come back for the next trial, but not later than this. */
    static final long MAX_RETRY_AFTER_MILLIS = 600_000;

    private static final Comparator<SuspectPromptPart> MOST_CRASHES_FIRST = Comparator.comparingInt(
                    (SuspectPromptPart each) -> each.crashes().size())
            .reversed()
            .thenComparing(SuspectPromptPart::key);

    private final Clock wallClock;
    private final PromptPartTrials trials;
    private final Listener listener;
    private final ConcurrentHashMap<String, SuspectPromptPart> suspects = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, Long> begunAtMillis = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, Long> trialDeadlineMillis = new ConcurrentHashMap<>();
    private final Snapshot<BlockedPromptParts> blocked = new Snapshot<>(BlockedPromptParts.NONE);
    private final AtomicInteger reportCount = new AtomicInteger();
    private final AtomicInteger reportCursor = new AtomicInteger();

    /** Creates a quarantine without evidence. */
    public PromptPartQuarantine(Clock wallClock, PromptPartTrials trials, Listener listener) {
        this.wallClock = wallClock;
        this.trials = trials;
        this.listener = listener;
    }

    /** Records that an upstream crashed while a request with the parts waited there for its first output. */
    public void recordCrash(Collection<String> keys, PromptPartCrash crash) {
        for (String key : keys) {
            suspects.compute(key, (same, known) -> (known == null ? withoutCrashes(key) : known).withCrash(crash));
        }
        refresh();
    }

    /** Records that a request with the parts has produced output, which clears them of earlier crashes. */
    public void recordBegun(Collection<String> keys) {
        long nowMillis = wallClock.nowMillis();
        boolean cleared = false;
        for (String key : keys) {
            begunAtMillis.put(key, nowMillis);
            cleared |= suspects.computeIfPresent(key, (same, known) -> known.withBegun(nowMillis)) != null;
        }
        if (cleared) {
            refresh();
        }
    }

    /** Merges the evidence that another router reported. */
    public void merge(List<SuspectPromptPart> received) {
        boolean changed = false;
        for (SuspectPromptPart each : received) {
            SuspectPromptPart before = suspects.get(each.key());
            SuspectPromptPart after =
                    suspects.merge(each.key(), withoutCrashes(each.key()).merge(each), SuspectPromptPart::merge);
            changed |= !after.equals(before);
        }
        if (changed) {
            refresh();
        }
    }

    private SuspectPromptPart withoutCrashes(String key) {
        return new SuspectPromptPart(key, List.of(), begunAtMillis.getOrDefault(key, 0L));
    }

    /** Returns whether a new request with the parts may run. */
    public Verdict check(Collection<String> keys) {
        BlockedPromptParts.Entry entry = blocked.get().find(keys);
        if (entry == null) {
            return Verdict.ADMITTED;
        }
        long nowMillis = wallClock.nowMillis();
        if (trials.mayRun(entry, nowMillis) && startTrial(entry, nowMillis)) {
            return Verdict.TRIAL;
        }
        long untilTrialMillis = Math.max(0, PromptPartTrials.dueMillis(entry) - nowMillis);
        return new Verdict(false, false, Math.min(MAX_RETRY_AFTER_MILLIS, untilTrialMillis));
    }

    /** Returns whether a request with the parts must not run again. */
    public boolean isBlocked(Collection<String> keys) {
        return blocked.get().find(keys) != null;
    }

    /** Returns the evidence about the blocked parts. */
    public List<SuspectPromptPart> blockedParts() {
        return blocked.get().entries().stream()
                .flatMap(each -> each.keys().stream())
                .map(suspects::get)
                .filter(Objects::nonNull)
                .toList();
    }

    private boolean startTrial(BlockedPromptParts.Entry entry, long nowMillis) {
        String trial = String.join(" ", entry.keys());
        long deadlineMillis = nowMillis + TRIAL_MILLIS;
        Long runningUntilMillis = trialDeadlineMillis.get(trial);
        return runningUntilMillis == null
                ? trialDeadlineMillis.putIfAbsent(trial, deadlineMillis) == null
                : nowMillis >= runningUntilMillis
                        && trialDeadlineMillis.replace(trial, runningUntilMillis, deadlineMillis);
    }

    /**
     * Returns evidence to report to other routers: by turns the parts with most crashes and, so that none is left out,
     * the next ones of all.
     */
    public List<SuspectPromptPart> report() {
        List<SuspectPromptPart> ranked =
                suspects.values().stream().sorted(MOST_CRASHES_FIRST).toList();
        if (ranked.isEmpty() || reportCount.getAndIncrement() % 2 == 0) {
            return limit(ranked);
        }
        int start = Math.floorMod(reportCursor.get(), ranked.size());
        List<SuspectPromptPart> inTurn =
                limit(Stream.concat(ranked.subList(start, ranked.size()).stream(), ranked.subList(0, start).stream())
                        .toList());
        reportCursor.set(start + inTurn.size());
        return inTurn;
    }

    private static List<SuspectPromptPart> limit(List<SuspectPromptPart> parts) {
        List<SuspectPromptPart> limited = new ArrayList<>();
        int crashes = 0;
        for (SuspectPromptPart each : parts) {
            crashes += each.crashes().size();
            if (limited.size() == MAX_REPORTED || (crashes > MAX_REPORTED_CRASHES && !limited.isEmpty())) {
                break;
            }
            limited.add(each);
        }
        return limited;
    }

    /** Removes old evidence and what exceeds the limits; called about once a second. */
    public void expire() {
        long nowMillis = wallClock.nowMillis();
        suspects.values()
                .removeIf(each -> nowMillis - each.updatedAtMillis()
                        >= (each.crashes().isEmpty() ? CLEARED_RETENTION_MILLIS : RETENTION_MILLIS));
        removeExcessSuspects(suspects.size() - MAX_SUSPECTS);
        begunAtMillis.values().removeIf(each -> nowMillis - each >= BEGUN_RETENTION_MILLIS);
        removeExcessBegun(begunAtMillis.size() - MAX_BEGUN);
        trialDeadlineMillis.values().removeIf(each -> nowMillis >= each);
        refresh();
    }

    private void removeExcessSuspects(int excess) {
        if (excess > 0) {
            suspects.values().stream()
                    .sorted(Comparator.comparingInt(
                                    (SuspectPromptPart each) -> each.crashes().size())
                            .thenComparing(SuspectPromptPart::updatedAtMillis))
                    .limit(excess)
                    .toList()
                    .forEach(each -> suspects.remove(each.key()));
        }
    }

    private void removeExcessBegun(int excess) {
        if (excess > 0) {
            begunAtMillis.entrySet().stream()
                    .sorted(Map.Entry.comparingByValue())
                    .limit(excess)
                    .toList()
                    .forEach(each -> begunAtMillis.remove(each.getKey()));
        }
    }

    private void refresh() {
        if (suspects.isEmpty() && blocked.get().entries().isEmpty()) {
            return;
        }
        BlockedPromptParts before = blocked.update(old -> BlockedPromptParts.derive(suspects.values()));
        BlockedPromptParts after = blocked.get();
        after.entries().stream()
                .filter(each -> !containsKeys(before, each))
                .forEach(each -> listener.blocked(each, PromptPartTrials.dueMillis(each)));
        before.entries().stream().filter(each -> !containsKeys(after, each)).forEach(listener::released);
    }

    private static boolean containsKeys(BlockedPromptParts parts, BlockedPromptParts.Entry entry) {
        return parts.entries().stream().anyMatch(each -> each.keys().equals(entry.keys()));
    }

    /** Returns the number of suspects. */
    int suspectCount() {
        return suspects.size();
    }

    /** Returns the number of remembered parts that produced output. */
    int begunCount() {
        return begunAtMillis.size();
    }

    /**
     * Answer to the question whether a request may run.
     *
     * @param admitted whether it may run
     * @param trial whether it runs although a part of it is blocked, to find out whether it still crashes upstreams
     * @param retryAfterMillis time until the next trial; 0 if the request may run
     */
    public record Verdict(boolean admitted, boolean trial, long retryAfterMillis) {
        static final Verdict ADMITTED = new Verdict(true, false, 0);
        static final Verdict TRIAL = new Verdict(true, true, 0);
    }

    /** Receives changes of the blocked parts. May be called by any thread. */
    public interface Listener {
        /** Called when requests with the parts are blocked; the time of the first trial is a wall-clock one. */
        void blocked(BlockedPromptParts.Entry parts, long trialDueMillis);

        /** Called when requests with the parts may run again. */
        void released(BlockedPromptParts.Entry parts);
    }
}
