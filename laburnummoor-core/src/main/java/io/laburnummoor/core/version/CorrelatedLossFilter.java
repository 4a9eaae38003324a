package io.laburnummoor.core.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/**
 * Withholds evidence from failure domains in trouble, and from those in which only one of the versions runs.
 *
 * <p>Evidence waits for {@link #DELAY_PERIODS}, because a domain's loss may be seen on the new version some moments
 * before it is seen on the old one.
 */
final class CorrelatedLossFilter {
    /** Crashes that occur together within 2 s count as one event, so evidence waits that long. */
    static final int DELAY_PERIODS = 2;

    /** A domain is in trouble when this fraction of the old version's attempts fails; sound versions stay far below. */
    private static final double TROUBLE_FRACTION = 0.2;

    private static final long MIN_TROUBLE_FAILURES = 3;
    /** After a domain's loss its upstreams come back one by one; this many periods are withheld after the last sign. */
    private static final int TROUBLE_PERIODS = 10;
    /** The old version counts as running in a domain for this long after its last attempt there. */
    private static final int BOTH_RUN_PERIODS = 10;

    private final Deque<Map<Stratum, Comparison>> waiting = new ArrayDeque<>();
    private final Map<String, Integer> troublePeriodsLeft = new HashMap<>();
    private final Map<String, Integer> bothRunPeriodsLeft = new HashMap<>();

    /** Takes the evidence of the next period and returns what may be used of an earlier one, or null. */
    @Nullable
    Map<Stratum, Comparison> add(Map<Stratum, Comparison> period) {
        Map<String, Comparison> byDomain = period.entrySet().stream()
                .collect(
                        Collectors.toMap(each -> each.getKey().failureDomain(), Map.Entry::getValue, Comparison::plus));
        countDown(troublePeriodsLeft);
        countDown(bothRunPeriodsLeft);
        byDomain.forEach((domain, total) -> {
            if (total.before().requests() > 0) {
                bothRunPeriodsLeft.put(domain, BOTH_RUN_PERIODS);
            }
            long failures = total.before().errors() + total.before().losses();
            if (failures >= MIN_TROUBLE_FAILURES
                    && failures >= TROUBLE_FRACTION * total.before().requests()) {
                troublePeriodsLeft.put(domain, TROUBLE_PERIODS);
            }
        });
        waiting.addLast(period);
        if (waiting.size() <= DELAY_PERIODS) {
            return null;
        }
        Map<Stratum, Comparison> oldest = waiting.removeFirst();
        Set<String> troubled = Set.copyOf(troublePeriodsLeft.keySet());
        Predicate<Map.Entry<Stratum, Comparison>> usable =
                each -> !troubled.contains(each.getKey().failureDomain())
                        && bothRunPeriodsLeft.containsKey(each.getKey().failureDomain());
        return oldest.entrySet().stream()
                .filter(usable)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private static void countDown(Map<String, Integer> periodsLeft) {
        periodsLeft.replaceAll((domain, left) -> left - 1);
        periodsLeft.values().removeIf(left -> left <= 0);
    }
}
