package io.laburnummoor.gateway.process;

import java.nio.charset.StandardCharsets;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

/** Guards against metrics that grow with each configuration, or with one that has very many routes. */
final class GatewayMetricsTest {
    /** Metrics that are read within one packet of a usual size of a megabyte or two. */
    private static final int MAX_TEXT_BYTES = 2 << 20;

    @ParameterizedTest(name = "{0} configurations of {1} routes")
    @CsvSource({"1, 20", "1000, 20", "1, 20000"})
    void seriesAreBoundedAndThoseOfFormerRoutesGo(int configurations, int routes) {
        GatewayMetrics metrics = new GatewayMetrics();
        for (int version = 0; version < configurations; version++) {
            metrics.retainNames(Set.of("route-" + version + "-0"), Set.of("service-" + version));
            for (int route = 0; route < routes; route++) {
                record(metrics, "route-" + version + "-" + route, "service-" + version);
            }
        }
        metrics.requestRefused(401);
        metrics.retainNames(Set.of("route-0-0", "kept"), Set.of("service-0"));
        record(metrics, "kept", "service-0");
        byte[] text = metrics.toText();
        String read = new String(text, StandardCharsets.UTF_8);

        assertThat(text.length, is(lessThan(MAX_TEXT_BYTES)));
        assertThat(read, containsString("route=\"kept\""));
        assertThat(read, containsString("route=\"none\""));
        assertThat(read, not(containsString("route=\"route-0-1\"")));
        assertThat(read, not(containsString("service=\"service-1\"")));
    }

    /** Guards against requests that are not counted because their route is one of too many. */
    @ParameterizedTest(name = "{0} routes")
    @CsvSource({"10", "20000"})
    void eachRequestIsCounted(int routes) {
        GatewayMetrics metrics = new GatewayMetrics();
        for (int route = 0; route < routes; route++) {
            record(metrics, "route-" + route, "desk");
        }
        double counted = new String(metrics.toText(), StandardCharsets.UTF_8)
                .lines()
                .filter(each -> each.startsWith("laburnummoor_requests_total{"))
                .mapToDouble(each -> Double.parseDouble(each.substring(each.lastIndexOf(' '))))
                .sum();

        assertThat(counted, is((double) routes));
    }

    private static void record(GatewayMetrics metrics, String route, String service) {
        metrics.requestEnded(route, 200);
        metrics.attemptEnded(service, "answered");
        metrics.responseStarted(route, 10);
    }
}
