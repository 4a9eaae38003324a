package io.laburnummoor.gateway.process;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedLoad;
import io.laburnummoor.core.connection.UpstreamInstance;
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

    /** Guards against a series for each upstream that ever was. */
    @ParameterizedTest(name = "{0} upstreams, then {1}")
    @CsvSource({"3, 2, 2", "3, 0, 0", "5000, 5000, 2001"})
    void paceSeriesAreBoundedAndThoseOfFormerUpstreamsGo(int before, int after, int series) {
        GatewayMetrics metrics = new GatewayMetrics();
        metrics.recordPaces(upstreams("a", before), 1_000);
        metrics.recordPaces(upstreams("b", after), 1_000);
        metrics.recordRouterReportsAge(700);
        String read = new String(metrics.toText(), StandardCharsets.UTF_8);

        assertThat(
                read.lines()
                        .filter(each -> each.startsWith("laburnummoor_upstream_pace{"))
                        .count(),
                is((long) series));
        assertThat(read, containsString("laburnummoor_router_reports_age_seconds 0.7"));
    }

    private static List<InstanceState> upstreams(String prefix, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> {
                    InstanceState state = new InstanceState(new UpstreamInstance(
                            prefix + i, "drafter", "sapporo", "10.0.0.1", 80, "v1", 24, false, 0, 1, 1));
                    state.recordReportedLoad(new ReportedLoad(1, 0, 24, 250), 1_000);
                    return state;
                })
                .toList();
    }

    private static void record(GatewayMetrics metrics, String route, String service) {
        metrics.requestEnded(route, 200);
        metrics.attemptEnded(service, "answered");
        metrics.responseStarted(route, 10);
    }
}
