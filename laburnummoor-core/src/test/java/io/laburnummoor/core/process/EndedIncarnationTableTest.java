package io.laburnummoor.core.process;

import java.util.List;

import io.laburnummoor.core.connection.EndedIncarnation;
import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Guards against routers that are each rejected by the same crashed upstreams, and against taking a live incarnation
 * out of use because of a report on a previous one.
 */
final class EndedIncarnationTableTest {
    private static final long NOW = 100_000;

    private final EndedIncarnationTable table = new EndedIncarnationTable();

    private static InstanceState state(String id, long startedAtMillis) {
        return new InstanceState(
                new UpstreamInstance(id, "drafter", "sapporo", "10.0.0.1", 80, "v1", 24, false, 0, startedAtMillis, 1));
    }

    @ParameterizedTest(name = "told {0} born {1}")
    @CsvSource({"i-1, 7, false", "i-1, 8, true", "i-2, 7, true"})
    void onlyTheReportedIncarnationIsTakenOutOfUse(String reportedId, long reportedStartMillis, boolean listed) {
        InstanceState known = state("i-1", 7);

        List<InstanceState> ended = table.applyReported(
                List.of(new EndedIncarnation(reportedId, reportedStartMillis)), new InstanceTable(List.of(known)), NOW);

        assertThat(known.isInService(NOW), is(listed));
        assertThat(ended.size(), is(listed ? 0 : 1));
    }

    @ParameterizedTest(name = "after {0} ms")
    @CsvSource({"0, 1", "3999, 1", "4000, 0"})
    void anEndIsReportedForSomeSeconds(long laterMillis, int reported) {
        table.record(new EndedIncarnation("i-1", 7), NOW);

        assertThat(table.recent(NOW + laterMillis).size(), is(reported));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 16, 400})
    void theMessageStaysSmall(int count) {
        for (int i = 0; i < count; i++) {
            table.record(new EndedIncarnation("i-" + i, 7), NOW);
            table.record(new EndedIncarnation("i-" + i, 7), NOW);
        }

        List<EndedIncarnation> reported = table.recent(NOW);

        assertThat(reported.size(), is(lessThanOrEqualTo(EndedIncarnationTable.MAX_REPORTED)));
        assertThat(reported.get(reported.size() - 1), is(new EndedIncarnation("i-" + (count - 1), 7)));
    }
}
