package io.laburnummoor.core.process;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Upstreams of different speeds that are slow by a multiple for fractions of a second. Guards against requests that
 * queue up at slow upstreams while faster ones are free, and against many routers that overload the fastest one.
 */
final class UnevenUpstreamsTest {
    private static final long MILLIS = 90_000;
    private static final long LEARN_MILLIS = 20_000;
    private static final double[] UNEVEN = {0.6, 1.0, 1.6};
    private static final double[] MIXED = {1.0, 1.0, 1.3};

    private static PlacementSimulation.Site site(
            String kind, double load, boolean reportsPace, boolean paceHoldsSpeed) {
        return switch (kind) {
            case "streams of A" -> new PlacementSimulation.Site(
                    true, 74, 64, MIXED, 29, 23.4 * load, 0, false, 4_013, 0, reportsPace, paceHoldsSpeed);
            case "streams of B" -> new PlacementSimulation.Site(
                    true, 56, 12, UNEVEN, 21, 12.9 * load, 0, true, 4_513, 0, reportsPace, paceHoldsSpeed);
            case "calls of A" -> new PlacementSimulation.Site(
                    false, 4, 6, MIXED, 29, 175 * load, 21, false, 147, 0, reportsPace, paceHoldsSpeed);
            default -> new PlacementSimulation.Site(
                    false, 3, 6, UNEVEN, 21, 146 * load, 43, true, 198, 0, reportsPace, paceHoldsSpeed);
        };
    }

    private static Result play(PlacementSimulation.Site site) {
        List<PlacementSimulation.Request> requests = new PlacementSimulation(site, 1).run(MILLIS, LEARN_MILLIS);
        double late = requests.stream()
                .filter(each -> each.millis() > site.goalMillis())
                .count();
        return new Result(
                requests.stream()
                        .mapToLong(PlacementSimulation.Request::millis)
                        .average()
                        .orElseThrow(),
                late / requests.size());
    }

    private record Result(double meanMillis, double lateShare) {}

    @ParameterizedTest(name = "{0} at {1} times the load, figures include the speed: {2}")
    @CsvSource({
        "streams of A, 1, true",
        "streams of A, 1, false",
        "streams of B, 1, true",
        "streams of B, 1, false",
        "streams of B, 1.5, true",
        "streams of B, 1.5, false",
        "calls of A, 1, true",
        "calls of A, 1, false",
        "calls of B, 1, true",
        "calls of B, 1, false",
        "calls of B, 1.5, true",
        "calls of B, 1.5, false"
    })
    void theExpectedTimePlacesRequestsBetterThanTheirNumber(String kind, double load, boolean paceHoldsSpeed) {
        Result byNumber = play(site(kind, load, false, paceHoldsSpeed));
        Result byTime = play(site(kind, load, true, paceHoldsSpeed));

        assertThat(byTime.meanMillis, is(lessThan(byNumber.meanMillis)));
        assertThat(byTime.lateShare, is(lessThanOrEqualTo(byNumber.lateShare)));
    }
}
