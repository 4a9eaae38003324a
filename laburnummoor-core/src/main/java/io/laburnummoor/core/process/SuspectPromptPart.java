package io.laburnummoor.core.process;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.connection.PromptPartCrash;

/**
 * Evidence about a prompt part that many requests may share; immutable. Crashes count against the part until a request
 * with it produces output. Merging is commutative and idempotent, so that routers agree regardless of the order of
 * their messages.
 *
 * @param key service, model and content of the part
 * @param crashes crashes since the part last produced output, at most one for each incarnation, earliest first
 * @param begunAtMillis wall-clock time at which a request with the part last produced output; 0 if not known
 */
public record SuspectPromptPart(String key, List<PromptPartCrash> crashes, long begunAtMillis) {
    /** Limits the size of a message. The latest crashes are kept; earlier ones do not change a decision. */
    static final int MAX_CRASHES = 8;
    /** Crashes within this time may have one common cause outside of the requests, such as the loss of a rack. */
    static final long MOMENT_MILLIS = 250;

    private static final Comparator<PromptPartCrash> EARLIEST_FIRST = Comparator.comparingLong(
                    PromptPartCrash::crashedAtMillis)
            .thenComparingLong(PromptPartCrash::incarnationHash)
            .thenComparingLong(PromptPartCrash::requestHash);

    /** Copies the crashes. */
    public SuspectPromptPart {
        crashes = List.copyOf(crashes);
    }

    /** Returns whether a request with the part is known to have produced output. */
    boolean hasBegun() {
        return begunAtMillis > 0;
    }

    SuspectPromptPart withCrash(PromptPartCrash crash) {
        return merge(new SuspectPromptPart(key, List.of(crash), 0));
    }

    SuspectPromptPart withBegun(long atMillis) {
        return merge(new SuspectPromptPart(key, List.of(), atMillis));
    }

    SuspectPromptPart merge(SuspectPromptPart other) {
        long begun = Math.max(begunAtMillis, other.begunAtMillis);
        Map<Long, PromptPartCrash> byIncarnation = new HashMap<>();
        addAfter(begun, crashes, byIncarnation);
        addAfter(begun, other.crashes, byIncarnation);
        List<PromptPartCrash> merged =
                byIncarnation.values().stream().sorted(EARLIEST_FIRST).toList();
        return new SuspectPromptPart(
                key, merged.subList(Math.max(0, merged.size() - MAX_CRASHES), merged.size()), begun);
    }

    private static void addAfter(
            long begunAtMillis, List<PromptPartCrash> added, Map<Long, PromptPartCrash> byIncarnation) {
        for (PromptPartCrash each : added) {
            if (each.crashedAtMillis() > begunAtMillis) {
                byIncarnation.merge(
                        each.incarnationHash(), each, (one, two) -> EARLIEST_FIRST.compare(one, two) >= 0 ? one : two);
            }
        }
    }

    /** Returns when the evidence last changed. */
    long updatedAtMillis() {
        return Math.max(begunAtMillis, lastCrashMillis(crashes));
    }

    /** Returns the time of the last crash, or 0 if there is none. */
    static long lastCrashMillis(Collection<PromptPartCrash> crashes) {
        return crashes.stream()
                .mapToLong(PromptPartCrash::crashedAtMillis)
                .max()
                .orElse(0);
    }

    /** Returns the number of separate moments of crashes. */
    public static int countMoments(Collection<PromptPartCrash> crashes) {
        return countGroups(crashes, MOMENT_MILLIS);
    }

    /** Returns the number of groups of crashes that are at least the given time apart. */
    static int countGroups(Collection<PromptPartCrash> crashes, long gapMillis) {
        long[] times = crashes.stream()
                .mapToLong(PromptPartCrash::crashedAtMillis)
                .sorted()
                .toArray();
        int groups = 0;
        long groupStart = 0;
        for (long each : times) {
            if (groups == 0 || each - groupStart >= gapMillis) {
                groups++;
                groupStart = each;
            }
        }
        return groups;
    }
}
