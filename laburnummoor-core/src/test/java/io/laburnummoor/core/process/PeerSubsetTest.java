package io.laburnummoor.core.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Guards against routers that never hear of the others: those after the 32nd of a list were always left out. */
final class PeerSubsetTest {
    private static final int MESSAGES = 2_000;

    @ParameterizedTest(name = "{0} of {1} routers")
    @CsvSource({"32, 5", "32, 32", "32, 33", "32, 38", "32, 100", "32, 400"})
    void eachRouterGetsItsShareOfTheMessages(int maximum, int routers) {
        List<Integer> all = IntStream.range(0, routers).boxed().toList();
        Random random = new Random(routers);
        Map<Integer, Integer> received = new HashMap<>();
        for (int i = 0; i < MESSAGES; i++) {
            List<Integer> selected = PeerSubset.select(all, maximum, random);
            assertThat(selected.size(), is(Math.min(maximum, routers)));
            assertThat(selected.stream().distinct().count(), is((long) selected.size()));
            selected.forEach(each -> received.merge(each, 1, Integer::sum));
        }
        double share = (double) MESSAGES * Math.min(maximum, routers) / routers;
        for (int router : all) {
            assertThat((double) received.getOrDefault(router, 0), is(greaterThan(share * 0.6)));
            assertThat((double) received.getOrDefault(router, 0), is(lessThan(share * 1.4)));
        }
    }
}
