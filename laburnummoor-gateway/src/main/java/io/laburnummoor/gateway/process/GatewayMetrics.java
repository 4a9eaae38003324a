package io.laburnummoor.gateway.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.request.Urgency;
import io.laburnummoor.core.request.WaitRefusal;
import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.datapoints.GaugeDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counters and latency histograms of a gateway; thread-safe. */
public final class GatewayMetrics {
    private static final double MILLIS_PER_SECOND = 1_000;
    /** Limits the heap that the series of routes and services take, a few hundred bytes each. */
    private static final int MAX_SERIES = 2_000;
    /** Same for histograms, which take a few thousand bytes. */
    private static final int MAX_HISTOGRAMS = 250;
    /** Route of requests that were refused before their route was known. */
    private static final String NO_ROUTE = "none";

    private static final double[] LATENCY_BUCKETS_SECONDS = {0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1, 1.5, 2.5, 4.5, 10, 25};
    private static final double[] PAUSE_BUCKETS_SECONDS = {0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1, 2, 5};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("laburnummoor_requests_total")
            .help("Requests by route and final status.")
            .labelNames("route", "status")
            .register(registry);
    private final Counter attempts = Counter.builder()
            .name("laburnummoor_attempts_total")
            .help("Attempts on upstreams by service and result.")
            .labelNames("service", "result")
            .register(registry);
    private final Histogram duration = Histogram.builder()
            .name("laburnummoor_request_seconds")
            .help("Time from the request to the whole answer or the first event.")
            .labelNames("route")
            .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
            .classicOnly()
            .register(registry);
    private final Histogram resumePause = Histogram.builder()
            .name("laburnummoor_resume_pause_seconds")
            .help("Pause between the last event before a resumption and the first one after it.")
            .classicUpperBounds(PAUSE_BUCKETS_SECONDS)
            .classicOnly()
            .register(registry);
    private final Histogram eventLoopDelay = Histogram.builder()
            .name("laburnummoor_event_loop_delay_seconds")
            .help("Time by which the periodic check of an event loop ran late.")
            .classicUpperBounds(PAUSE_BUCKETS_SECONDS)
            .classicOnly()
            .register(registry);
    private final Counter callersGone = Counter.builder()
            .name("laburnummoor_callers_gone_total")
            .help("Requests whose caller left before the end, by whether an upstream had been sent the request.")
            .labelNames("sent")
            .register(registry);
    private final Counter unsolicitedBytes = Counter.builder()
            .name("laburnummoor_upstream_unsolicited_total")
            .help("Reads from upstream connections on which no request was open.")
            .register(registry);
    private final Counter lateResponses = Counter.builder()
            .name("laburnummoor_upstream_late_responses_total")
            .help("Second responses of upstreams to earlier requests, which were skipped.")
            .register(registry);
    private final Counter storeCalls = Counter.builder()
            .name("laburnummoor_store_calls_total")
            .help("Calls to the platform's key-value service by result.")
            .labelNames("result")
            .register(registry);
    private final Counter storeRestores = Counter.builder()
            .name("laburnummoor_store_restores_total")
            .help("New eras of the platform's key-value service, which was restored from an older copy each time.")
            .register(registry);

    private final Gauge upstreamPace = Gauge.builder()
            .name("laburnummoor_upstream_pace")
            .help("Expected duration of work by upstream that has reported it; 1 is usual.")
            .labelNames("upstream")
            .register(registry);
    private final Gauge routerReportsAge = Gauge.builder()
            .name("laburnummoor_router_reports_age_seconds")
            .help("Age of the oldest report of another router that counts; -1 if there is none.")
            .register(registry);

    private final Gauge waiting = Gauge.builder()
            .name("laburnummoor_waiting_requests")
            .help("Requests that wait for a place on an upstream, by urgency.")
            .labelNames("urgency")
            .register(registry);
    private final Histogram waitTime = Histogram.builder()
            .name("laburnummoor_wait_seconds")
            .help("Time that requests waited for a place, by outcome of the wait.")
            .labelNames("outcome")
            .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
            .classicOnly()
            .register(registry);
    private final Counter waitRefusals = Counter.builder()
            .name("laburnummoor_wait_refusals_total")
            .help("Requests that were refused because no place was free, by reason.")
            .labelNames("reason")
            .register(registry);

    private final NamedSeries<GaugeDataPoint> paceByUpstream = new NamedSeries<>(upstreamPace, MAX_SERIES);
    private final NamedSeries<CounterDataPoint> requestsByRoute = new NamedSeries<>(requests, MAX_SERIES);
    private final NamedSeries<CounterDataPoint> attemptsByService = new NamedSeries<>(attempts, MAX_SERIES);
    private final NamedSeries<DistributionDataPoint> durationByRoute = new NamedSeries<>(duration, MAX_HISTOGRAMS);

    /** Removes the series of routes and services that the configuration no longer has. */
    public void retainNames(Set<String> routes, Set<String> services) {
        requestsByRoute.retainNames(routes);
        durationByRoute.retainNames(routes);
        attemptsByService.retainNames(services);
    }

    /** Records the pace of the upstreams that have reported it, and removes the series of all others. */
    public void recordPaces(List<InstanceState> upstreams, long nowMillis) {
        List<InstanceState> reporting =
                upstreams.stream().filter(each -> each.pace().isReported()).toList();
        paceByUpstream.retainNames(
                reporting.stream().map(each -> each.instance().id()).collect(Collectors.toSet()));
        for (InstanceState each : reporting) {
            paceByUpstream.of(each.instance().id()).set(each.pace().expected(nowMillis));
        }
    }

    /** Records the age of the oldest report of another router, or -1 if there is none. */
    public void recordRouterReportsAge(long ageMillis) {
        routerReportsAge.set(ageMillis < 0 ? ageMillis : ageMillis / MILLIS_PER_SECOND);
    }

    /** Counts a request that has ended. */
    public void requestEnded(String route, int status) {
        requestsByRoute.of(route, Integer.toString(status)).inc();
    }

    /** Counts a request that was refused before its route was known. */
    public void requestRefused(int status) {
        requests.labelValues(NO_ROUTE, Integer.toString(status)).inc();
    }

    /** Counts an attempt that has ended. */
    public void attemptEnded(String service, String result) {
        attemptsByService.of(service, result).inc();
    }

    /** Records the time to a complete response or a first event. */
    public void responseStarted(String route, long millis) {
        durationByRoute.of(route).observe(millis / MILLIS_PER_SECOND);
    }

    /** Records the pause of a stream that was resumed on another upstream. */
    public void streamResumed(long pauseMillis) {
        resumePause.observe(pauseMillis / MILLIS_PER_SECOND);
    }

    /** Records by how much an event loop was late. */
    public void eventLoopDelayed(long millis) {
        eventLoopDelay.observe(millis / MILLIS_PER_SECOND);
    }

    /** Counts a request whose caller has left. */
    public void callerGone(boolean sent) {
        callersGone.labelValues(Boolean.toString(sent)).inc();
    }

    /** Counts bytes from an upstream that belong to no open request. */
    public void unsolicitedBytes() {
        unsolicitedBytes.inc();
    }

    /** Counts a second response to an earlier request, which was skipped. */
    public void lateResponse() {
        lateResponses.inc();
    }

    /** Counts a call to the store. */
    public void storeCall(boolean succeeded) {
        storeCalls.labelValues(succeeded ? "ok" : "failed").inc();
    }

    /** Counts a new era of the store. */
    public void storeRestored() {
        storeRestores.inc();
    }

    /** Sets the number of waiting requests of an urgency. */
    public void waitingRequests(Urgency urgency, int count) {
        waiting.labelValues(Integer.toString(urgency.level())).set(count);
    }

    /** Records the end of a wait. */
    public void waitEnded(WaitOutcome outcome, long millis) {
        waitTime.labelValues(outcome.label()).observe(millis / MILLIS_PER_SECOND);
    }

    /** Counts a request that was refused because no place was free. */
    public void waitRefused(WaitRefusal refusal) {
        waitRefusals.labelValues(refusal.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Adds the free slots of each service to the metrics; the function is called for each output. */
    public void reportFreeSlots(Supplier<Map<String, Integer>> freeSlotsByService) {
        GaugeWithCallback.builder()
                .name("laburnummoor_free_slots")
                .help("Slots of a service's upstreams that no request takes, as far as known.")
                .labelNames("service")
                .callback(output -> freeSlotsByService.get().entrySet().stream()
                        .limit(MAX_SERIES)
                        .forEach(each -> output.call(each.getValue(), each.getKey())))
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] toText() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(bytes, registry.scrape());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return bytes.toByteArray();
    }
}
