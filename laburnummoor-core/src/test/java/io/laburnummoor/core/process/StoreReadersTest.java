package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Watch stampede: guards against a load on the store that grows with the number of routers that follow it. */
final class StoreReadersTest {
    @ParameterizedTest(name = "{0} routers: {1} read the store")
    @CsvSource({"1, 1", "3, 3", "5, 5", "6, 5", "22, 5", "33, 6", "38, 7", "100, 10", "400, 20"})
    void onlyAFewRoutersReadTheStore(int count, int readers) {
        List<String> routers = names(count);
        Map<String, Integer> load = new HashMap<>();
        int reading = 0;
        for (String router : routers) {
            List<String> others = new ArrayList<>(routers);
            others.remove(router);
            List<String> sources = StoreReaders.sourcesOf(router, others);
            if (sources.isEmpty()) {
                reading++;
            } else {
                assertThat(sources.size(), is(readers));
                load.merge(sources.get(0), 1, Integer::sum);
            }
        }
        assertThat(reading, is(readers));
        int largest = load.values().stream().mapToInt(each -> each).max().orElse(0);
        double mean = (double) (count - readers) / readers;
        assertThat((double) largest, is(lessThanOrEqualTo(3 * mean + 2)));
    }

    @ParameterizedTest(name = "{0} routers, {1} gone")
    @CsvSource({"33, 1", "33, 6", "38, 20", "400, 40"})
    void theLossOfRoutersLeavesReaders(int count, int gone) {
        List<String> before = StoreReaders.of(names(count));
        List<String> left = new ArrayList<>(names(count));
        left.removeAll(before.subList(0, Math.min(gone, before.size())));

        List<String> after = StoreReaders.of(left);

        assertThat(after.isEmpty(), is(false));
        assertThat(left.containsAll(after), is(true));
    }

    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "router-" + i).toList();
    }
}
