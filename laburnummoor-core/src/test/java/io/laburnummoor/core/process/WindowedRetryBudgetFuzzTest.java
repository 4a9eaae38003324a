package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against routers that each keep their share of the retry budget but exceed the bound together. */
final class WindowedRetryBudgetFuzzTest {
    private static final long WINDOW_MILLIS = 10_000;
    private static final double RATIO = 0.8;
    private static final int EXTRA = 30;

    @Property(seed = "20261204", tries = 300)
    void allRoutersTogetherKeepTheBoundInEachWindow(
            @ForAll @IntRange(min = 1, max = 7) int routers,
            @ForAll @Size(min = 1, max = 60) List<@IntRange(max = 6) Integer> routerIndexes,
            @ForAll @Size(min = 60, max = 60) List<@IntRange(max = 4_000) Integer> pauses,
            @ForAll @Size(min = 60, max = 60) List<@IntRange(max = 25) Integer> arrivals) {
        WindowedRetryBudget.Bound bound = new WindowedRetryBudget.Bound(RATIO, EXTRA, WINDOW_MILLIS);
        List<WindowedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            budgets.add(new WindowedRetryBudget(bound, () -> routers));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 50_000;
        for (int i = 0; i < routerIndexes.size(); i++) {
            now += pauses.get(i);
            WindowedRetryBudget budget = budgets.get(routerIndexes.get(i) % routers);
            for (int k = 0; k < arrivals.get(i); k++) {
                budget.recordRequest("desk", now);
                requests.add(now);
            }
            while (budget.tryRetry("desk", now)) {
                retries.add(now);
            }
            assertThat("at " + now, countSince(retries, now) <= allowed(requests, now), is(true));
        }
    }

    /**
     * Allows for the requests of the window, of the previous one or of the one half a window earlier, whichever are
     * most.
     */
    private static double allowed(List<Long> requests, long now) {
        int most = Math.max(
                countSince(requests, now),
                Math.max(
                        countBetween(requests, now - 2 * WINDOW_MILLIS, now - WINDOW_MILLIS),
                        countBetween(requests, now - WINDOW_MILLIS * 3 / 2, now - WINDOW_MILLIS / 2)));
        return RATIO * most + EXTRA;
    }

    private static int countSince(List<Long> times, long now) {
        return countBetween(times, now - WINDOW_MILLIS, now);
    }

    private static int countBetween(List<Long> times, long from, long to) {
        return (int) times.stream().filter(each -> each > from && each <= to).count();
    }
}
