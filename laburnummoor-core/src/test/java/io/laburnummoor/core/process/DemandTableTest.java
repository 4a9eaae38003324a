package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Guards against shares that do not follow the demand, or that let routers together exceed twice a limit. */
class DemandTableTest {
    private static final long KEY = DemandTable.organisationKey("office");

    /** Guards against shares that do not follow the demand or sum to more than twice the limit. */
    @ParameterizedTest
    @CsvSource({"2, 30, 10, 0.75", "4, 90, 10, 0.9", "4, 10, 90, 0.25", "1, 5, 0, 1.0"})
    void followsDemandWithoutExceedingTwiceTheLimit(int routers, int first, int second, double expected) {
        List<DemandTable> tables = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            tables.add(new DemandTable("router-" + i));
        }
        for (int round = 1; round <= 20; round++) {
            long nowMillis = round * 1_000L;
            for (int i = 0; i < routers; i++) {
                Map<Long, Integer> demand =
                        i == 0 ? Map.of(KEY, first) : i == 1 && second > 0 ? Map.of(KEY, second) : Map.of();
                tables.get(i).startRound(demand, routers, nowMillis, nowMillis);
                tables.get((i + 1) % routers).merge(tables.get(i).takeAnnouncements(64), nowMillis);
            }
            double sum = tables.stream().mapToDouble(each -> each.share(KEY)).sum();
            assertThat(sum, lessThanOrEqualTo(2.0));
        }
        assertThat(tables.get(0).share(KEY), closeTo(expected, 1e-9));
    }

    /** Guards against routers that each take the whole limit because they cannot reach the others. */
    @ParameterizedTest
    @CsvSource({"2, 0.5", "4, 0.25", "1, 1.0"})
    void usesTheLeastShareWithoutContact(int routers, double expected) {
        DemandTable table = new DemandTable("router-0");
        table.merge(List.of(), 0);
        for (int round = 1; round <= 40; round++) {
            table.startRound(Map.of(KEY, 50), routers, round, round * 1_000L);
        }
        assertThat(table.share(KEY), closeTo(expected, 1e-9));
    }
}
