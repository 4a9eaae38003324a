package io.laburnummoor.gateway.request;

import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.process.InstanceChoice;
import io.laburnummoor.core.version.ForwardRoute;
import io.laburnummoor.core.version.ForwardService;
import io.laburnummoor.gateway.connection.UpstreamConnection;
import io.laburnummoor.gateway.connection.UpstreamPool;
import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/** Chooses upstreams for the attempts of one request, connects to them and sends the request. */
final class AttemptLauncher {
    /** Multiple of the expected reading time from which a first event counts as slow. */
    private static final int SLOW_FACTOR = 3;

    private static final long SLOW_SLACK_MILLIS = 300;

    private final GatewayContext context;
    private final UpstreamPool pool;
    private final ForwardRequest request;
    private final ForwardRoute route;
    private final ForwardService service;
    private final double versionDraw = ThreadLocalRandom.current().nextDouble();

    AttemptLauncher(
            GatewayContext context,
            UpstreamPool pool,
            ForwardRequest request,
            ForwardRoute route,
            ForwardService service) {
        this.context = context;
        this.pool = pool;
        this.request = request;
        this.route = route;
        this.service = service;
    }

    /** Calls back as soon as the first upstream can be chosen: at once, or when engines have told what they keep. */
    void prepare(EventLoop loop, Runnable whenReady) {
        if (service.generates() && request.callerHead().lastEventId() > 0) {
            new CachedPrefixLookup(context, loop, pool, whenReady).start(service.name(), request.id());
        } else {
            whenReady.run();
        }
    }

    /** Returns the best upstream, one that has not failed this request if there is any, or null. */
    @Nullable
    InstanceState selectUpstream(Set<String> failedIds) {
        long now = context.clock().nowMillis();
        InstanceChoice.Wanted criteria = new InstanceChoice.Wanted(
                service, failedIds, request.callerHead().promptParts(), versionDraw);
        return context.selector().choose(context.state().instances(), criteria, now);
    }

    /** Returns whether an upstream that holds a copy of the run may be asked to go on. */
    boolean isUsableBackup(InstanceState backup) {
        long now = context.clock().nowMillis();
        return backup.isListed(now) && !backup.isEjected(now);
    }

    /** Returns the upstream that keeps a copy of a run on the target, or null. */
    @Nullable
    InstanceState selectBackup(InstanceState target) {
        if (!service.keepsBackups() || !route.repeatRule().continuesStream()) {
            return null;
        }
        return context.selector()
                .chooseBackup(
                        context.state().instances(),
                        service,
                        target.instance(),
                        request.callerHead().totalTokens(),
                        context.clock().nowMillis());
    }

    /** Counts an answer as evidence on the version of its upstream. */
    void recordOutcome(Attempt attempt, boolean failed) {
        context.rollouts().judged(attempt.instance(), route.name(), failed);
    }

    /** Counts silence before the first event as a failure of the version, if the upstream lived meanwhile. */
    void recordSilence(Attempt attempt) {
        if (!attempt.hasEvents() && attempt.target().lastSeenMillis() > attempt.startedMillis()) {
            recordOutcome(attempt, true);
        }
    }

    /** Returns whether a first event came much later than the prompts on the engine explain. */
    boolean isSlow(Attempt attempt, long nowMillis) {
        long expected = context.prefillRate().millisFor(attempt.promptTokensAtStart());
        return nowMillis - attempt.startedMillis() > SLOW_FACTOR * expected + SLOW_SLACK_MILLIS;
    }

    /** Keeps new work away from the upstream of a lost attempt for a while. */
    void recordLoss(Attempt attempt) {
        UpstreamInstance instance = attempt.instance();
        long now = context.clock().nowMillis();
        attempt.target().recordFailure(now);
        context.domainLosses().record(service.name(), instance.failureDomain(), instance.id(), now);
    }

    /** Another life has answered at the address of an attempt's upstream, which gets no more work. */
    void recordIncarnationEnded(Attempt attempt) {
        attempt.target().recordGone(context.clock().nowMillis());
        context.loadExchange().incarnationEnded(attempt.target());
    }

    /** Returns whether most upstreams beside an attempt's are lost too. */
    boolean isDomainSuspect(Attempt attempt) {
        long now = context.clock().nowMillis();
        return context.domainLosses()
                .isSuspect(service.name(), attempt.instance().failureDomain(), now);
    }

    /** Tells the other routers that the use of an engine has changed. */
    void loadChanged() {
        if (service.generates()) {
            context.loadExchange().stateChanged();
        }
    }

    /** Hands over a connection to the attempt's upstream, or null if there is none. */
    void connect(Attempt attempt, Consumer<@Nullable UpstreamConnection> consumer) {
        pool.connect(attempt.instance(), consumer);
    }

    /** Returns the message for an attempt. */
    FullHttpRequest buildRequest(Attempt attempt, long remainingMillis, long lastEventId) {
        UpstreamInstance instance = attempt.instance();
        InstanceState backup = attempt.backup();
        UpstreamRequestHead requestHead = new UpstreamRequestHead(
                request.id(),
                instance,
                remainingMillis,
                request.organisation(),
                lastEventId,
                request.body().length,
                backup == null ? null : backup.instance(),
                attempt.resumesFromBackup() ? instance.address() : null);
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.target(),
                Unpooled.wrappedBuffer(request.body()),
                context.headerCodec().encodeUpstreamRequest(request.headers(), requestHead),
                EmptyHttpHeaders.INSTANCE);
    }
}
