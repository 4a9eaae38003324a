package io.laburnummoor.gateway.connection;

import java.util.concurrent.ThreadLocalRandom;

import io.laburnummoor.core.process.BufferBudget;
import io.laburnummoor.core.process.DrainPolicy;
import io.laburnummoor.core.request.RequestAuthorizer;
import io.laburnummoor.core.version.ForwardConfig;
import io.laburnummoor.core.version.ForwardRoute;
import io.laburnummoor.core.version.ForwardService;
import io.laburnummoor.gateway.process.GatewayContext;
import io.laburnummoor.gateway.request.CallerRequestHead;
import io.laburnummoor.gateway.request.ForwardRequest;
import io.laburnummoor.gateway.request.ForwardSession;
import io.laburnummoor.gateway.request.LocalReply;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a complete request of a caller is forwarded, and refuses it otherwise. Confined to the event loop of
 * its connection.
 */
final class RequestAdmission {
    /** Retry delay of a refusal; short, since another router can serve the request immediately. */
    static final long RETRY_AFTER_MILLIS = 50;

    private final GatewayContext gateway;
    private final EventLoop loop;
    private final UpstreamPool pool;

    RequestAdmission(GatewayContext gateway, EventLoop loop, UpstreamPool pool) {
        this.gateway = gateway;
        this.loop = loop;
        this.pool = pool;
    }

    /** Returns the session of an admitted request, or refuses the request and returns null. */
    @Nullable
    ForwardSession admit(HeldRequest held, CallerRequestHead caller, CallerResponse exchange) {
        HttpRequest request = held.head();
        String id = caller.attemptId();
        if (id == null) {
            exchange.sendLocalReply(new LocalReply(HttpResponseStatus.BAD_REQUEST.code(), "bad_request", 0));
            return null;
        }
        // A response that does not fit would be lost after its request has run.
        if (!gateway.state().bufferBudget().hasRoom()) {
            refuseOverBudget(id, "RESPONSE_MEMORY", gateway.state().bufferBudget(), exchange);
            return null;
        }
        boolean fresh = gateway.configFreshness()
                .isWithinRevocationBound(gateway.settings().revocationMillis());
        ForwardConfig config = gateway.state().config();
        RequestAuthorizer.Decision decision = RequestAuthorizer.decide(
                config, fresh, RequestTarget.hostOf(request), RequestTarget.pathOf(request), caller.apiKey());
        ForwardRoute route = decision.route();
        ForwardService service = config == null || route == null ? null : serviceOf(config, route);
        if (route == null || service == null) {
            refuse(id, decision.refusal(), config, exchange);
            return null;
        }
        long sinceStop = gateway.state().sinceStopMillis(gateway.clock().nowMillis());
        if (gateway.state().isDraining() && !acceptsWhileDraining(route, sinceStop)) {
            refuseStopping(id, route, sinceStop, exchange);
            return null;
        }
        ForwardRequest forwardRequest = new ForwardRequest(
                id,
                request.method(),
                request.uri(),
                request.headers(),
                held.body(),
                caller,
                decision.organisation(),
                held.arrivedAtMillis());
        return new ForwardSession(gateway, loop, pool, exchange, forwardRequest, route, service);
    }

    /** Refuses a request for which no memory is left before it has been read completely. */
    void refuseUnread(@Nullable String id, CallerResponse exchange) {
        refuseOverBudget(id, "REQUEST_MEMORY", gateway.state().requestBudget(), exchange);
    }

    private void refuseOverBudget(@Nullable String id, String reason, BufferBudget budget, CallerResponse exchange) {
        LocalReply reply = LocalReply.notRun("overloaded", RETRY_AFTER_MILLIS);
        gateway.log()
                .line("request_refused")
                .text("request", id)
                .text("reason", reason)
                .number("status", reply.status())
                .number("used_bytes", budget.usedBytes())
                .write();
        gateway.metrics().requestRefused(reply.status());
        exchange.closeAfterResponse();
        exchange.sendLocalReply(reply);
    }

    private boolean acceptsWhileDraining(ForwardRoute route, long sinceStopMillis) {
        return !gateway.state().isRefusingAll()
                && DrainPolicy.accepts(
                        route,
                        sinceStopMillis,
                        gateway.settings().stopMillis(),
                        gateway.state().streamDuration().upperMillis());
    }

    private static @Nullable ForwardService serviceOf(ForwardConfig config, ForwardRoute route) {
        return config.service(route.selectService(ThreadLocalRandom.current().nextDouble()));
    }

    private void refuseStopping(String id, ForwardRoute route, long sinceStopMillis, CallerResponse exchange) {
        gateway.log()
                .line("request_refused")
                .text("request", id)
                .text("reason", "STOPPING")
                .text("route", route.name())
                .number("since_stop_ms", sinceStopMillis)
                .write();
        exchange.sendLocalReply(LocalReply.notRun("stopping", RETRY_AFTER_MILLIS));
    }

    private void refuse(
            String id,
            RequestAuthorizer.@Nullable Refusal refusal,
            @Nullable ForwardConfig config,
            CallerResponse exchange) {
        RequestAuthorizer.Refusal reason = refusal == null ? RequestAuthorizer.Refusal.NO_CONFIGURATION : refusal;
        LocalReply reply =
                switch (reason) {
                    case NO_CONFIGURATION, STALE_CONFIGURATION -> LocalReply.notRun(
                            "configuration_unknown", RETRY_AFTER_MILLIS);
                    case UNKNOWN_ROUTE -> new LocalReply(HttpResponseStatus.NOT_FOUND.code(), "unknown_route", 0);
                    case UNKNOWN_KEY -> new LocalReply(HttpResponseStatus.UNAUTHORIZED.code(), "unauthenticated", 0);
                };
        gateway.log()
                .line("request_refused")
                .text("request", id)
                .text("reason", reason.name())
                .number("status", reply.status())
                .number("config_version", config == null ? 0 : config.version())
                .number("config_age_ms", gateway.configFreshness().ageMillis())
                .write();
        gateway.metrics().requestRefused(reply.status());
        if (reply.retryAfterMillis() > 0) {
            exchange.closeAfterResponse();
        }
        exchange.sendLocalReply(reply);
    }
}
