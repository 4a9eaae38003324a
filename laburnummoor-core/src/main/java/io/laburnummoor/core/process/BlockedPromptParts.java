package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.laburnummoor.core.connection.PromptPartCrash;
import org.jspecify.annotations.Nullable;

/**
 * The prompt parts that requests must not run with; immutable, derived from all evidence. Each crash is explained once:
 * the part with the strongest evidence takes its crashes away from the parts that were merely on the same upstreams.
 *
 * @param entries blocked parts; parts with identical evidence are blocked only together
 */
public record BlockedPromptParts(List<Entry> entries) {
    /** Nothing is blocked. */
    public static final BlockedPromptParts NONE = new BlockedPromptParts(List.of());

    /** Separate moments of crashes that block a part. */
    static final int BLOCKING_MOMENTS = 3;
    /** Different requests that must have crashed upstreams; one alone may be harmful by its own part. */
    static final int BLOCKING_REQUESTS = 2;
    /** Crashes that block a part which has produced output before, and may therefore have met crashes by chance. */
    static final int BLOCKING_CRASHES_ONCE_BEGUN = 5;

    private static final Comparator<Candidate> STRONGEST_FIRST = Comparator.comparing(Candidate::hasBegun)
            .thenComparing(Comparator.comparingInt(Candidate::moments).reversed())
            .thenComparing(Candidate::key);

    /** Copies the entries. */
    public BlockedPromptParts {
        entries = List.copyOf(entries);
    }

    /** Derives the blocked parts from the evidence of all routers. */
    static BlockedPromptParts derive(Collection<SuspectPromptPart> suspects) {
        List<Candidate> candidates = new ArrayList<>();
        for (SuspectPromptPart each : suspects) {
            if (each.crashes().size() >= BLOCKING_MOMENTS) {
                candidates.add(new Candidate(each.key(), each.hasBegun(), Set.copyOf(each.crashes())));
            }
        }
        List<Entry> entries = new ArrayList<>();
        Candidate strongest = strongest(candidates);
        while (strongest != null) {
            Candidate chosen = strongest;
            Set<String> keys = candidates.stream()
                    .filter(chosen::hasSameEvidence)
                    .map(Candidate::key)
                    .collect(Collectors.toUnmodifiableSet());
            entries.add(new Entry(keys, chosen.crashes()));
            candidates = candidates.stream()
                    .map(each -> each.without(chosen.incarnations()))
                    .filter(each -> !each.crashes().isEmpty())
                    .toList();
            strongest = strongest(candidates);
        }
        return entries.isEmpty() ? NONE : new BlockedPromptParts(entries);
    }

    private static @Nullable Candidate strongest(Collection<Candidate> candidates) {
        return candidates.stream()
                .filter(Candidate::isBlocking)
                .min(STRONGEST_FIRST)
                .orElse(null);
    }

    /** Returns the entry that blocks a request with the given parts, or null if it may run. */
    @Nullable
    Entry find(Collection<String> keys) {
        for (Entry each : entries) {
            if (keys.containsAll(each.keys())) {
                return each;
            }
        }
        return null;
    }

    /**
     * Parts that block a request which has all of them.
     *
     * @param keys keys of the parts
     * @param crashes crashes that the parts explain
     */
    public record Entry(Set<String> keys, Set<PromptPartCrash> crashes) {
        /** Copies the collections. */
        public Entry {
            keys = Set.copyOf(keys);
            crashes = Set.copyOf(crashes);
        }

        /** Returns the wall-clock time of the last crash. */
        public long lastCrashMillis() {
            return SuspectPromptPart.lastCrashMillis(crashes);
        }
    }

    private record Candidate(String key, boolean hasBegun, Set<PromptPartCrash> crashes) {
        int moments() {
            return SuspectPromptPart.countMoments(crashes);
        }

        boolean isBlocking() {
            return moments() >= BLOCKING_MOMENTS
                    && crashes.stream()
                                    .map(PromptPartCrash::requestHash)
                                    .distinct()
                                    .count()
                            >= BLOCKING_REQUESTS
                    && (!hasBegun || crashes.size() >= BLOCKING_CRASHES_ONCE_BEGUN);
        }

        Set<Long> incarnations() {
            return crashes.stream().map(PromptPartCrash::incarnationHash).collect(Collectors.toSet());
        }

        boolean hasSameEvidence(Candidate other) {
            return hasBegun == other.hasBegun && incarnations().equals(other.incarnations());
        }

        Candidate without(Set<Long> explainedIncarnations) {
            Set<PromptPartCrash> rest = new HashSet<>(crashes);
            rest.removeIf(each -> explainedIncarnations.contains(each.incarnationHash()));
            return new Candidate(key, hasBegun, rest);
        }
    }
}
