package io.laburnummoor.core.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedLoad;
import io.laburnummoor.core.connection.ReportedPace;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.version.ForwardService;

/**
 * Simulates routers that select upstreams for arriving requests, in steps of one millisecond. Upstreams differ in speed
 * and are slow by a multiple for periods of time. Engines prefill one prompt at a time, in order of arrival, while
 * slots and KV cache are free; routers exchange their load on engines 5 ms after each change. A plain service works on
 * as many calls as it has slots.
 */
final class PlacementSimulation {
    private static final double TOKENS_PER_MILLI = 8;
    private static final double DECODE_MILLIS = 3_700;
    private static final int OUTPUT_TOKENS = 980;
    private static final long MEAN_PROMPT = 8_200;
    private static final long MAX_PROMPT = 14_400;
    private static final long LONG_PROMPT = 14_000;
    private static final long SHORT_PROMPT = 2_000;
    /** 1.3 times the mean. */
    private static final long LONG_TOKENS = 10_660;

    private static final double PROMPT_SPREAD = 0.3;
    private static final long EXCHANGE_MILLIS = 5;
    private static final double SLOW_FACTOR = 2.5;
    private static final double SLOW_SHARE = 0.15;
    private static final long SLOW_PERIOD_MILLIS = 600;

    private final Site site;
    private final Random random;
    private final ForwardService service;
    private final List<Server> servers = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final List<Request> completed = new ArrayList<>();
    private final Deque<Runnable> exchanges = new ArrayDeque<>();
    private final Deque<Long> exchangeTimes = new ArrayDeque<>();
    private long now = 1;

    PlacementSimulation(Site site, long seed) {
        this.site = site;
        this.random = new Random(seed);
        this.service = new ForwardService("s", 300, site.engine, site.slots, site.engine ? 88_000 : 0, false);
        for (int i = 0; i < site.servers; i++) {
            servers.add(new Server("u-" + i, site.speeds[i % site.speeds.length]));
        }
        for (int i = 0; i < site.routers; i++) {
            routers.add(new Router("router-" + i));
        }
    }

    /** Runs for a time and returns the requests whose first event came after the time to learn. */
    List<Request> run(long millis, long learnMillis) {
        for (; now < millis; now++) {
            while (!exchangeTimes.isEmpty() && exchangeTimes.peekFirst() <= now) {
                exchangeTimes.pollFirst();
                exchanges.removeFirst().run();
            }
            if (now % SLOW_PERIOD_MILLIS == 0) {
                servers.forEach(each -> each.slow = site.slowPeriods && random.nextDouble() < SLOW_SHARE);
            }
            if (random.nextDouble() < site.perSecond / 1_000) {
                routers.get(random.nextInt(site.routers)).start();
            }
            servers.forEach(Server::step);
        }
        return completed.stream().filter(each -> each.arrivedAt > learnMillis).toList();
    }

    /**
     * Customer's service to simulate.
     *
     * @param longShare share of prompts of 14,000 tokens, the others have 2,000; 0 for lengths spread around the mean
     * @param reportsPace whether upstreams report a fourth figure
     * @param paceHoldsSpeed whether the figure includes the permanent speed of the machine
     */
    record Site(
            boolean engine,
            int servers,
            int slots,
            double[] speeds,
            int routers,
            double perSecond,
            double workMillis,
            boolean slowPeriods,
            long goalMillis,
            double longShare,
            boolean reportsPace,
            boolean paceHoldsSpeed) {}

    /** One request. */
    final class Request {
        final Router router;
        final long arrivedAt = now;
        final long promptTokens;
        double remaining;
        double decodeRemaining = DECODE_MILLIS;
        long firstEventAt;
        final InstanceState target;
        final ExpectedTime.Estimate expected;
        final long longTokens;

        Request(
                Router router,
                InstanceState target,
                ExpectedTime.Estimate expected,
                long promptTokens,
                boolean countsAsLong) {
            this.router = router;
            this.target = target;
            this.expected = expected;
            this.promptTokens = promptTokens;
            this.longTokens = countsAsLong ? tokens() : 0;
            this.remaining = site.engine ? promptTokens / TOKENS_PER_MILLI : site.workMillis;
        }

        long tokens() {
            return site.engine ? promptTokens + OUTPUT_TOKENS : 0;
        }

        long millis() {
            return firstEventAt - arrivedAt;
        }

        boolean isLong() {
            return promptTokens > LONG_TOKENS;
        }
    }

    private final class Router {
        private final String name;
        private final PeerLoads peers = new PeerLoads();
        private final InstanceTable table;
        private final Map<String, InstanceState> states = new HashMap<>();
        private final InstanceSelector selector;
        private long sequence;

        Router(String name) {
            this.name = name;
            for (Server each : servers) {
                states.put(
                        each.id,
                        new InstanceState(new UpstreamInstance(
                                each.id, "s", "domain", "10.0.0.1", 80, "v1", site.slots, false, 0, 1, 1)));
            }
            this.table = new InstanceTable(List.copyOf(states.values()));
            this.selector =
                    new InstanceSelector(name, "domain", new DomainOutageDetector(), peers, new OrderedRollouts());
        }

        void start() {
            long prompt = drawPrompt();
            RequestWork work =
                    new RequestWork(prompt, site.engine ? OUTPUT_TOKENS : 0, site.goalMillis, 0, random.nextDouble());
            InstanceState target = Objects.requireNonNull(selector.select(
                    table, new InstanceSelector.Criteria(service, Set.of(), List.of(), 0.5, false, work), now));
            ExpectedTime times = selector.expectedTime();
            times.recordPrompt("s", prompt);
            Request request = new Request(
                    this, target, times.of(target, service, work, now), prompt, times.isLongPrompt("s", prompt));
            target.requestStarted(request.tokens());
            target.addLongPrefillTokens(request.longTokens);
            exchange();
            for (Server each : servers) {
                if (each.id.equals(target.instance().id())) {
                    each.waiting.add(request);
                }
            }
        }

        private long drawPrompt() {
            if (site.longShare > 0) {
                return random.nextDouble() < site.longShare ? LONG_PROMPT : SHORT_PROMPT;
            }
            double drawn = MEAN_PROMPT * (1 + PROMPT_SPREAD * random.nextGaussian());
            return site.engine ? Math.round(Math.max(100, Math.min(MAX_PROMPT, drawn))) : 0;
        }

        void firstEvent(Request request, ReportedLoad load) {
            request.firstEventAt = now;
            completed.add(request);
            request.target.recordReportedLoad(load, now);
            request.target.prefillEnded(request.tokens());
            request.target.addLongPrefillTokens(-request.longTokens);
            ExpectedTime times = selector.expectedTime();
            if (site.engine) {
                times.recordFirstEvent(request.target, request.expected, request.promptTokens, request.millis(), now);
            } else {
                times.recordCall(request.target, request.expected, request.millis(), now);
            }
            exchange();
        }

        void ended(Request request) {
            request.target.requestEnded(request.tokens());
            exchange();
        }

        private void exchange() {
            if (!site.engine) {
                return;
            }
            Map<String, UpstreamLoad> loads = new HashMap<>();
            List<ReportedPace> paces = new ArrayList<>();
            states.forEach((id, state) -> {
                if (state.ownLoad().kvCacheTokens() > 0) {
                    loads.put(id, state.ownLoad());
                }
                ReportedPace pace = state.pace().ownWithin(id, 500, now);
                if (pace != null) {
                    paces.add(pace);
                }
            });
            RouterLoad load =
                    new RouterLoad(name, 1, ++sequence, Map.of(), List.of(), List.of(), List.of(), loads, paces);
            exchangeTimes.addLast(now + EXCHANGE_MILLIS);
            exchanges.addLast(() -> routers.forEach(each -> {
                if (each != this) {
                    each.peers.record(load, now);
                    each.table.recordPaces(load.paces(), now);
                }
            }));
        }
    }

    private final class Server {
        private final String id;
        private final double speed;
        private final Deque<Request> waiting = new ArrayDeque<>();
        private final List<Request> running = new ArrayList<>();
        private boolean slow;
        private long kvTokens;

        Server(String id, double speed) {
            this.id = id;
            this.speed = speed;
        }

        void step() {
            while (!waiting.isEmpty() && running.size() < site.slots && fits(waiting.peekFirst())) {
                Request next = waiting.removeFirst();
                kvTokens += next.tokens();
                running.add(next);
            }
            double work = speed / (slow ? SLOW_FACTOR : 1);
            boolean prefilling = false;
            for (Request each : List.copyOf(running)) {
                if (each.firstEventAt != 0) {
                    each.decodeRemaining -= work;
                    if (each.decodeRemaining <= 0) {
                        end(each);
                    }
                } else if (!site.engine || !prefilling) {
                    prefilling = true;
                    each.remaining -= work;
                    if (each.remaining <= 0) {
                        respond(each);
                    }
                }
            }
        }

        private boolean fits(Request request) {
            return !site.engine || kvTokens + request.tokens() <= service.kvCacheTokens();
        }

        private void respond(Request request) {
            double pace = (slow ? SLOW_FACTOR : 1) / (site.paceHoldsSpeed ? speed : 1);
            int percent = site.reportsPace ? (int) Math.round(100 * pace) : 0;
            request.router.firstEvent(request, new ReportedLoad(running.size(), waiting.size(), site.slots, percent));
            if (!site.engine) {
                end(request);
            }
        }

        private void end(Request request) {
            running.remove(request);
            kvTokens -= request.tokens();
            request.router.ended(request);
        }
    }
}
