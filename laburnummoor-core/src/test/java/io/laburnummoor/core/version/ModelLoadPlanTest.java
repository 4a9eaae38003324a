package io.laburnummoor.core.version;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Guards against overlapping loads, which exceed the weight store's rate limit, and against loads that end late. */
final class ModelLoadPlanTest {
    @ParameterizedTest
    @CsvSource({"1, 1000", "25, 1000", "25, 60000", "400, 2000"})
    void loadsEndInTimeAndDoNotOverlap(int upstreams, long loadMillis) {
        StepPlan steps = new StepPlan(10_000_000, 11_000_000, 10_000);
        ModelLoadPlan plan = new ModelLoadPlan(steps, upstreams, loadMillis, 1_000);
        List<Long> orders = plan.orderTimesMillis();
        assertThat(plan.loadMillis(), equalTo(loadMillis));
        assertThat(orders.size(), equalTo(upstreams));
        for (int i = 1; i < orders.size(); i++) {
            assertThat(orders.get(i) - orders.get(i - 1), greaterThanOrEqualTo(loadMillis));
        }
        for (int step = 0; step <= StepPlan.lastStep(); step++) {
            long dueAtMillis = step == 0 ? steps.startedAtMillis() : steps.dueAtMillis(step, steps.startedAtMillis());
            long lastEndMillis = orders.get(plan.upstreamsNeeded(step) - 1) + loadMillis;
            assertThat(lastEndMillis, lessThanOrEqualTo(dueAtMillis));
        }
    }
}
