package io.laburnummoor.gateway.request;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.process.ExpectedTime;
import io.laburnummoor.core.process.InstanceSelector;
import io.laburnummoor.core.process.RequestWork;
import io.laburnummoor.core.version.ForwardRoute;
import io.laburnummoor.core.version.ForwardService;
import io.laburnummoor.gateway.connection.UpstreamConnection;
import io.laburnummoor.gateway.connection.UpstreamPool;
import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * Selects upstreams for the attempts of one request, connects to them, builds the messages and records the outcomes.
 * Confined to the event loop of the session.
 */
final class AttemptLauncher {
    /** Multiple of the expected prompt processing time from which a first event counts as slow. */
    private static final int SLOW_FACTOR = 3;

    private static final long SLOW_SLACK_MILLIS = 300;
    private static final long RETRY_AFTER_NO_UPSTREAM_MILLIS = 400;
    /** Multiple of the goal from which a response counts as slow. */
    private static final int SLOW_GOAL_FACTOR = 2;

    private final GatewayContext context;
    private final UpstreamPool pool;
    private final ForwardRequest request;
    private final ForwardRoute route;
    private final ForwardService service;
    private final RequestUrgency urgency;
    private final EventLoop loop;
    private final Set<String> excludedIds = new HashSet<>();
    /** Excluded upstreams that refused the request because they were full. */
    private final Set<String> fullIds = new HashSet<>();

    private final double versionDraw = ThreadLocalRandom.current().nextDouble();

    AttemptLauncher(
            GatewayContext context,
            EventLoop loop,
            UpstreamPool pool,
            ForwardRequest request,
            ForwardRoute route,
            ForwardService service) {
        this.context = context;
        this.loop = loop;
        this.pool = pool;
        this.request = request;
        this.route = route;
        this.service = service;
        this.urgency = new RequestUrgency(context, request, route, service.name());
    }

    /** Returns whether engines are asked for their cached prefixes before the first upstream is selected. */
    boolean needsLookup() {
        return service.isEngine() && request.callerHead().lastEventId() > 0;
    }

    /**
     * Calls back when the first upstream can be selected: immediately, or for a resumed stream after the engines have
     * reported their cached prefixes.
     */
    void prepare(Runnable whenReady) {
        if (needsLookup()) {
            new CachedPrefixLookup(context, loop, pool, whenReady).start(service.name(), request.id());
        } else {
            whenReady.run();
        }
    }

    /**
     * Records that an upstream refused the attempt. A full one is not chosen for the next attempts.
     *
     * @return whether the incarnation has ended
     */
    boolean recordNotExecuted(Attempt attempt, UpstreamResponseHead head) {
        if (head.wrongIncarnation()) {
            recordIncarnationEnded(attempt);
        } else if (!attempt.resumesFromBackup()) {
            attempt.target().recordFull(context.clock().nowMillis());
            exclude(attempt);
            fullIds.add(attempt.instance().id());
        }
        return head.wrongIncarnation();
    }

    /** Allows the upstreams again that were full, since the request was granted a place that became free later. */
    void readmitFull() {
        excludedIds.removeAll(fullIds);
        fullIds.clear();
    }

    /** Excludes an attempt's upstream from the choice for further ones, except when no other is left. */
    void exclude(Attempt attempt) {
        excludedIds.add(attempt.instance().id());
    }

    /**
     * Returns the best upstream that is not excluded; else one that is but is neither ejected nor full: the last
     * upstream of a service may answer after an error. Null if there is none.
     */
    @Nullable
    InstanceState selectUpstream() {
        InstanceState unused = selectUnusedUpstream();
        return unused != null || excludedIds.isEmpty() ? unused : selectAgain();
    }

    /** Returns the best upstream that is not excluded, or null. */
    @Nullable
    InstanceState selectUnusedUpstream() {
        return select(excludedIds, !excludedIds.isEmpty());
    }

    private @Nullable InstanceState selectAgain() {
        long now = context.clock().nowMillis();
        InstanceState again = select(Set.of(), true);
        return again == null || again.isEjected(now) || again.isFull(now) ? null : again;
    }

    /** Returns the best upstream that could take the place of an attempt's, or null. */
    @Nullable
    InstanceState selectOtherUpstream(Attempt attempt) {
        Set<String> usedIds = new HashSet<>(excludedIds);
        usedIds.add(attempt.instance().id());
        InstanceState unused = select(usedIds, true);
        InstanceState other = unused != null ? unused : selectAgain();
        return other == attempt.target() ? null : other;
    }

    private @Nullable InstanceState select(Set<String> usedIds, boolean afterLoss) {
        InstanceSelector.Criteria criteria = new InstanceSelector.Criteria(
                service, usedIds, request.callerHead().promptParts(), versionDraw, afterLoss, work());
        return context.selector()
                .select(context.state().instances(), criteria, context.clock().nowMillis());
    }

    private RequestWork work() {
        CallerRequestHead head = request.callerHead();
        return new RequestWork(
                head.promptTokens(),
                head.outputTokens(),
                route.responseGoalMillis(),
                context.clock().nowMillis() - request.arrivedAtMillis(),
                ThreadLocalRandom.current().nextDouble());
    }

    /** Returns the expected time of this request on an upstream, or null if the number of requests decides. */
    private ExpectedTime.@Nullable Estimate estimate(InstanceState target) {
        List<InstanceState> upstreams = context.state().instances().ofService(service.name());
        return context.selector().usesExpectedTime(upstreams)
                ? expectedTime().of(target, service, work(), context.clock().nowMillis())
                : null;
    }

    private ExpectedTime expectedTime() {
        return context.selector().expectedTime();
    }

    /** Returns when a caller should return after no upstream could be selected. */
    long retryAfterMillis() {
        long untilAccepting = context.state()
                .instances()
                .millisUntilAccepting(service.name(), context.clock().nowMillis());
        return untilAccepting > 0 ? untilAccepting : RETRY_AFTER_NO_UPSTREAM_MILLIS;
    }

    /** Returns the upstream that holds the KV-cache backup of a run if it may be used to resume it, or null. */
    @Nullable
    InstanceState usableBackup(@Nullable InstanceState backup) {
        long now = context.clock().nowMillis();
        return backup != null && backup.acceptsRequests(now) && !backup.isEjected(now) ? backup : null;
    }

    /** Creates an attempt on an upstream, which counts as load there from now on. */
    Attempt newAttempt(ForwardSession session, InstanceState target, boolean fromBackup, int number) {
        CallerRequestHead head = request.callerHead();
        ExpectedTime.Estimate estimate = estimate(target);
        Attempt attempt = new Attempt(
                session,
                context,
                route,
                target,
                selectBackup(target),
                fromBackup,
                number,
                head.totalTokens(),
                context.selector().totalPrefillTokens(target) + head.promptTokens());
        if (estimate != null) {
            if (number == 0) {
                expectedTime().recordPrompt(service.name(), head.promptTokens());
            }
            boolean isLong = expectedTime().isLongPrompt(service.name(), head.promptTokens());
            attempt.setTiming(new AttemptTiming(
                    expectedTime(),
                    target,
                    estimate,
                    head.promptTokens(),
                    isLong ? head.totalTokens() : 0,
                    !fromBackup && head.lastEventId() == 0,
                    attempt.startedAtMillis()));
        }
        return attempt;
    }

    /** Returns the upstream that is to hold the KV-cache backup of a run on the target, or null. */
    private @Nullable InstanceState selectBackup(InstanceState target) {
        if (!service.backsUpKvCache() || !route.retryPolicy().mayResumeStream()) {
            return null;
        }
        return context.selector()
                .selectBackup(
                        context.state().instances(),
                        service,
                        target.instance(),
                        request.callerHead().totalTokens(),
                        context.clock().nowMillis());
    }

    /** Counts a response as a success or failure of the version of its upstream. */
    void recordOutcome(Attempt attempt, boolean failed) {
        context.rollouts().recordAnswer(attempt.instance(), route.name(), failed);
    }

    /** Counts a missing first event as a failure of the version, if the upstream was seen alive during the attempt. */
    void recordMissingFirstEvent(Attempt attempt) {
        if (!attempt.hasEvents() && attempt.target().lastSeenMillis() > attempt.startedAtMillis()) {
            recordOutcome(attempt, true);
        }
        AttemptTiming timing = attempt.timing();
        if (timing != null) {
            timing.abandoned(context.clock().nowMillis());
        }
    }

    /** Returns whether a response took much longer than the route's goal. */
    boolean isSlowCall(Attempt attempt, long nowMillis) {
        return nowMillis - attempt.startedAtMillis() > SLOW_GOAL_FACTOR * route.responseGoalMillis();
    }

    /** Returns whether a first event came much later than expected from the prompts on the engine. */
    boolean isSlow(Attempt attempt, long nowMillis) {
        AttemptTiming timing = attempt.timing();
        long expected = timing == null
                ? context.prefillRate().expectedMillis(attempt.prefillTokensAtStart())
                : Math.round(timing.expected().firstEventMillis());
        return nowMillis - attempt.startedAtMillis() > SLOW_FACTOR * expected + SLOW_SLACK_MILLIS;
    }

    /**
     * Records the loss of an attempt, which ejects its upstream for a while and counts against its failure domain. One
     * that was slow but alive is not ejected where the expected time decides, which has grown by the loss.
     */
    void recordLoss(Attempt attempt) {
        AttemptTiming timing = attempt.timing();
        if (timing != null && timing.wasAbandonedAlive()) {
            return;
        }
        UpstreamInstance instance = attempt.instance();
        long now = context.clock().nowMillis();
        attempt.target().recordFailure(now);
        context.domainOutages().record(service.name(), instance.failureDomain(), instance.id(), now);
    }

    /** Records that another incarnation answered at the upstream's address; the old one gets no more requests. */
    private void recordIncarnationEnded(Attempt attempt) {
        attempt.target().markEnded(context.clock().nowMillis());
        context.loadExchange().incarnationEnded(attempt.target());
    }

    /** Returns whether most upstreams in the failure domain of an attempt's upstream must be considered lost. */
    boolean isDomainSuspect(Attempt attempt) {
        long now = context.clock().nowMillis();
        return context.domainOutages()
                .isSuspect(service.name(), attempt.instance().failureDomain(), now);
    }

    /** Notifies the other routers that the load of an engine has changed. */
    void loadChanged() {
        if (service.isEngine()) {
            context.loadExchange().stateChanged();
        }
    }

    /**
     * Passes a connection to the attempt's upstream to the consumer, or null if the upstream cannot be reached. A
     * request that was sent to this upstream before gets a new connection: on a kept one, a second copy of the first
     * response would have the same attempt id as the second one.
     */
    void connect(Attempt attempt, boolean repeatsUpstream, Consumer<@Nullable UpstreamConnection> consumer) {
        Consumer<@Nullable UpstreamConnection> guarded =
                opened -> attempt.guarded(() -> use(attempt, opened, consumer)).run();
        if (repeatsUpstream) {
            pool.open(attempt.instance(), guarded);
        } else {
            pool.connect(attempt.instance(), request.id(), guarded);
        }
    }

    /** Passes the connection on. A fault on the way ends the attempt as a lost one if the request may be repeated. */
    private void use(
            Attempt attempt, @Nullable UpstreamConnection opened, Consumer<@Nullable UpstreamConnection> consumer) {
        try {
            consumer.accept(opened);
        } catch (Throwable fault) {
            if (opened != null) {
                opened.cancel();
            }
            if (attempt.hasEnded() || !route.retryPolicy().mayRetryAfterRun()) {
                throw fault;
            }
            attempt.onFailure("fault of the gateway: " + fault);
        }
    }

    /** Returns the HTTP request of an attempt. */
    FullHttpRequest buildRequest(Attempt attempt, long remainingMillis, long lastEventId) {
        UpstreamInstance instance = attempt.instance();
        InstanceState backup = attempt.backup();
        UpstreamRequestHead requestHead = new UpstreamRequestHead(
                request.id(),
                instance,
                remainingMillis,
                request.organisation(),
                lastEventId,
                request.body().readableBytes(),
                backup == null ? null : backup.instance(),
                attempt.resumesFromBackup() ? instance.address() : null,
                urgency.inForce());
        // Before the body is retained, which a failure would not release.
        HttpHeaders headers = context.headerCodec().encodeUpstreamRequest(request.headers(), requestHead);
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.target(),
                request.body().retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }
}
