package io.laburnummoor.core.process;

import java.util.concurrent.ConcurrentHashMap;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.version.ForwardService;

/**
 * Expected time of a request on an upstream. Answers upstreams that differ in speed and load: the number of requests
 * treats an upstream that takes 2.5 times as long as equal, and requests queue up there.
 *
 * <p>A call takes the measured work time of its service, a generation the prefill of all prompts on the engine and its
 * own. Both are multiplied by the pace of the upstream. Waiting grows with the square of the occupancy while slots and
 * KV cache are free, as other routers' requests of the same moment are not known, and in proportion to the excess after
 * that. Used by the event loops concurrently; reads atomics only.
 */
public final class ExpectedTime {
    /** Names of services come from configurations, so the number of kept averages is bounded. */
    private static final int MAX_SERVICES = 1_000;

    private static final double PERCENT = 100;

    private final PeerLoads peerLoads;
    private final ConcurrentHashMap<String, WorkTimes> workByService = new ConcurrentHashMap<>();
    private final WorkTimes workOfOthers = new WorkTimes();

    /** Creates an estimator over the loads that other routers report. */
    public ExpectedTime(PeerLoads peerLoads) {
        this.peerLoads = peerLoads;
    }

    /** Returns what a request is expected to take on an upstream, with the inputs. */
    public Estimate of(InstanceState upstream, ForwardService service, RequestWork work, long nowMillis) {
        return of(upstream, service, work, work.promptTokens(), averagesOf(service.name()), nowMillis);
    }

    /**
     * Returns the same for a request of whose prompt only some tokens have to be prefilled, for example because the
     * engine has cached the others.
     */
    Estimate of(
            InstanceState upstream,
            ForwardService service,
            RequestWork work,
            long tokensToPrefill,
            WorkTimes.Averages averages,
            long nowMillis) {
        UpstreamLoad total = peerLoads.totalOf(upstream);
        double pace = upstream.pace().expected(nowMillis);
        return service.isEngine()
                ? ofEngine(upstream, service, work, tokensToPrefill, averages, total, pace, nowMillis)
                : ofCall(upstream, averages, total, pace, nowMillis);
    }

    private static Estimate ofCall(
            InstanceState upstream, WorkTimes.Averages averages, UpstreamLoad total, double pace, long nowMillis) {
        double workMillis = pace * averages.callMillis();
        double requests = requestsOn(upstream, total, workMillis, nowMillis);
        int slots = upstream.slots();
        double waitMillis = slots == 0 ? 0 : workMillis * queueFactor(requests, slots);
        double end = workMillis + waitMillis;
        return new Estimate(end, end, waitMillis, requests, 0, pace);
    }

    private static Estimate ofEngine(
            InstanceState upstream,
            ForwardService service,
            RequestWork work,
            long tokensToPrefill,
            WorkTimes.Averages averages,
            UpstreamLoad total,
            double pace,
            long nowMillis) {
        long tokensAhead = total.prefillTokens();
        double ownMillis = pace * tokensToPrefill / averages.tokensPerMilli();
        double decodeMillis = pace * averages.decodeMillis();
        double residenceMillis = Math.max(1, ownMillis + decodeMillis);
        double requests = requestsOn(upstream, total, residenceMillis, nowMillis);
        int slots = upstream.slots();
        double occupancy = slots == 0 ? 0 : requests / slots;
        double excess = slots == 0 ? 0 : Math.max(0, (requests - slots + 1) / slots);
        if (service.kvCacheTokens() > 0) {
            double held = total.kvCacheTokens();
            occupancy = Math.max(occupancy, held / service.kvCacheTokens());
            excess = Math.max(excess, (held + work.totalTokens() - service.kvCacheTokens()) / service.kvCacheTokens());
        }
        double free = Math.min(1, occupancy);
        double waitMillis = excess > 0 ? ownMillis + residenceMillis * excess : ownMillis * free * free;
        double firstEvent = waitMillis + ownMillis + pace * tokensAhead / averages.tokensPerMilli();
        return new Estimate(firstEvent, firstEvent + decodeMillis, waitMillis, requests, tokensAhead, pace);
    }

    private static double requestsOn(
            InstanceState upstream, UpstreamLoad total, double residenceMillis, long nowMillis) {
        return Math.max(upstream.estimatedLoad(nowMillis, Math.max(1, residenceMillis)), total.inFlight());
    }

    /** Returns the expected waiting time for a slot, as a multiple of the time of one request. */
    private static double queueFactor(double requests, int slots) {
        double occupancy = requests / slots;
        return requests < slots ? occupancy * occupancy : 1 + (requests - slots + 1) / slots;
    }

    /** Returns whether an engine is prefilling a long prompt of any router. */
    boolean prefillsLongPrompt(InstanceState upstream) {
        return upstream.prefillsLongPrompt()
                || peerLoads.of(upstream.instance().id()).longPrefillTokens() > 0;
    }

    /** Returns whether a prompt is long in comparison with the others of its service. */
    public boolean isLongPrompt(String service, long promptTokens) {
        return averagesOf(service).isLongPrompt(promptTokens);
    }

    /** Returns the averages of a service at the usual pace. */
    WorkTimes.Averages averagesOf(String service) {
        return workOf(service).get();
    }

    /** Returns the time in which an engine prefills some tokens at its pace. */
    public long prefillMillis(InstanceState upstream, long tokens, long nowMillis) {
        return Math.round(upstream.pace().expected(nowMillis)
                * averagesOf(upstream.instance().service()).prefillMillis(tokens));
    }

    /** Returns the age of the oldest report of another router that counts, or -1 if there is none. */
    public long oldestPeerReportAgeMillis(long nowMillis) {
        return peerLoads.oldestReportAgeMillis(nowMillis);
    }

    /** Records the length of a new request's prompt. */
    public void recordPrompt(String service, long tokens) {
        if (tokens > 0) {
            workOf(service).recordPrompt(tokens);
        }
    }

    /** Records the time to the first event of a generation. Short prompts say little about the upstream's pace. */
    public void recordFirstEvent(InstanceState upstream, Estimate expected, long promptTokens, long millis, long now) {
        long tokens = expected.prefillTokensAhead() + promptTokens;
        if (tokens < WorkTimes.MIN_PROMPT_TOKENS) {
            return;
        }
        if (expected.waitMillis() < millis) {
            // Relative to the pace by reports alone, so that the service's average holds the upstreams' mean speed.
            double work = (millis - expected.waitMillis()) / upstream.pace().reported(now);
            workOf(upstream.instance().service()).recordPrefill(tokens, work);
        }
        recordMeasured(upstream, expected, millis, now);
    }

    /** Records the time from the first event of a complete generation to its end. */
    public void recordDecode(InstanceState upstream, long millis, long now) {
        workOf(upstream.instance().service())
                .recordDecode(millis / upstream.pace().expected(now));
    }

    /** Records the time of a complete call to a plain service. */
    public void recordCall(InstanceState upstream, Estimate expected, long millis, long now) {
        int slots = upstream.slots();
        double queued =
                slots == 0 || expected.requestsAhead() < slots ? 1 : 1 + (expected.requestsAhead() - slots + 1) / slots;
        workOf(upstream.instance().service())
                .recordCall(millis / (queued * upstream.pace().reported(now)));
        recordMeasured(upstream, expected, millis, now);
    }

    /**
     * Records that a request had no response after some time. Counts as a measured time, so that an upstream that
     * accepts connections but does no work is avoided.
     */
    public void recordAbandoned(InstanceState upstream, Estimate expected, long millis, long now) {
        recordMeasured(upstream, expected, millis, now);
    }

    private static void recordMeasured(InstanceState upstream, Estimate expected, long millis, long now) {
        double atReportedPace =
                expected.firstEventMillis() / expected.pace() * upstream.pace().reported(now);
        if (atReportedPace > 0) {
            upstream.pace().recordMeasured(millis / atReportedPace, now);
        }
    }

    private WorkTimes workOf(String service) {
        WorkTimes known = workByService.get(service);
        if (known != null) {
            return known;
        }
        return workByService.size() >= MAX_SERVICES
                ? workOfOthers
                : workByService.computeIfAbsent(service, added -> new WorkTimes());
    }

    /**
     * Expected time of a request on an upstream, with its inputs.
     *
     * @param firstEventMillis time to the first event, or to the response of a call
     * @param endMillis time to the end
     * @param waitMillis the part of it that the request waits for a slot or KV cache
     * @param requestsAhead requests on the upstream over all routers
     * @param prefillTokensAhead tokens of other requests that the upstream has yet to prefill
     * @param pace pace of the upstream, 1 is usual
     */
    public record Estimate(
            double firstEventMillis,
            double endMillis,
            double waitMillis,
            double requestsAhead,
            long prefillTokensAhead,
            double pace) {
        /** Returns the pace in percent of usual. */
        public long pacePercent() {
            return Math.round(pace * PERCENT);
        }
    }
}
