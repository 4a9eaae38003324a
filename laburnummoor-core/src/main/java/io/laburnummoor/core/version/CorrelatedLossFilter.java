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
 * Discards evidence from degraded failure domains, and from those in which the old version does not run.
 *
 * <p>Evidence is delayed by {@link #DELAY_PERIODS}, because the loss of a domain may show on the new version slightly
 * earlier than on the old one.
 */
final class CorrelatedLossFilter {
    /** Crashes within 2 s count as one event, so evidence is delayed by as many periods of 1 s. */
    static final int DELAY_PERIODS = 2;

    /** A domain is degraded if this fraction of the old version's attempts fails; good versions stay far below. */
    private static final double DEGRADED_FAILURE_RATE = 0.2;

    private static final long MIN_DEGRADED_FAILURES = 3;
    /** Periods discarded after the last degraded one, because the upstreams of a lost domain recover one by one. */
    private static final int DEGRADED_PERIODS = 10;
    /** Periods for which the old version counts as running in a domain after its last attempt there. */
    private static final int OLD_VERSION_PERIODS = 10;

    private final Deque<Map<Stratum, Comparison>> delayedPeriods = new ArrayDeque<>();
    private final Map<String, Integer> degradedPeriodsLeft = new HashMap<>();
    private final Map<String, Integer> oldVersionPeriodsLeft = new HashMap<>();

    /** Adds the evidence of the next period and returns the usable evidence of an earlier one, or null. */
    @Nullable
    Map<Stratum, Comparison> add(Map<Stratum, Comparison> period) {
        Map<String, Comparison> byDomain = period.entrySet().stream()
                .collect(
                        Collectors.toMap(each -> each.getKey().failureDomain(), Map.Entry::getValue, Comparison::plus));
        countDown(degradedPeriodsLeft);
        countDown(oldVersionPeriodsLeft);
        byDomain.forEach((domain, total) -> {
            if (total.before().requests() > 0) {
                oldVersionPeriodsLeft.put(domain, OLD_VERSION_PERIODS);
            }
            long failures = total.before().errors() + total.before().losses();
            if (failures >= MIN_DEGRADED_FAILURES
                    && failures >= DEGRADED_FAILURE_RATE * total.before().requests()) {
                degradedPeriodsLeft.put(domain, DEGRADED_PERIODS);
            }
        });
        delayedPeriods.addLast(period);
        if (delayedPeriods.size() <= DELAY_PERIODS) {
            return null;
        }
        Map<Stratum, Comparison> oldest = delayedPeriods.removeFirst();
        Set<String> degradedDomains = Set.copyOf(degradedPeriodsLeft.keySet());
        Predicate<Map.Entry<Stratum, Comparison>> usable =
                each -> !degradedDomains.contains(each.getKey().failureDomain())
                        && oldVersionPeriodsLeft.containsKey(each.getKey().failureDomain());
        return oldest.entrySet().stream()
                .filter(usable)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private static void countDown(Map<String, Integer> periodsLeft) {
        periodsLeft.replaceAll((domain, left) -> left - 1);
        periodsLeft.values().removeIf(left -> left <= 0);
    }
}
