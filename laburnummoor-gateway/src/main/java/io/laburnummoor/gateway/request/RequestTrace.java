package io.laburnummoor.gateway.request;

import java.util.List;
import java.util.stream.Collectors;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.process.ExpectedTime;
import io.laburnummoor.core.request.AttemptHistory;
import io.laburnummoor.core.request.AttemptStatus;
import io.laburnummoor.core.request.PromptPart;
import io.laburnummoor.core.request.Urgency;
import io.laburnummoor.core.version.ForwardRoute;
import io.laburnummoor.gateway.process.DecisionLog;
import io.laburnummoor.gateway.process.GatewayContext;
import org.jspecify.annotations.Nullable;

/** Writes the log lines and updates the metrics of one request; called by its session. */
final class RequestTrace {
    /** Outcome of a request whose caller has disconnected. */
    static final String CALLER_GONE = "caller_gone";

    private final GatewayContext context;
    private final ForwardRequest request;
    private final ForwardRoute route;
    private final String service;
    private final RequestUrgency urgency;
    private @Nullable Attempt answeredBy;

    RequestTrace(GatewayContext context, ForwardRequest request, ForwardRoute route, String service) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.service = service;
        this.urgency = new RequestUrgency(context, request, route, service);
    }

    void upstreamSelected(Attempt attempt, String reason, long afterEvent) {
        InstanceState target = attempt.target();
        UpstreamInstance instance = target.instance();
        InstanceState backup = attempt.backup();
        long now = now();
        DecisionLog.Line line = lineWithUrgency("upstream_chosen")
                .text("reason", reason)
                .text("upstream", instance.id())
                .text("failure_domain", instance.failureDomain())
                .text("backup", backup == null ? null : backup.instance().id())
                .flag("from_copy", attempt.resumesFromBackup())
                .number("own_in_flight", target.inFlightCount())
                .number("estimated_load", target.estimatedLoad(now))
                .number("load_age_ms", target.reportedLoadAgeMillis(now))
                .number("after_event", afterEvent)
                .text("prompt_parts", promptPartsOf(request));
        AttemptTiming timing = attempt.timing();
        if (timing != null) {
            addExpectedTime(line, timing.expected(), target, now);
        }
        line.write();
    }

    private void addExpectedTime(
            DecisionLog.Line line, ExpectedTime.Estimate expected, InstanceState target, long nowMillis) {
        line.number("expected_first_event_ms", Math.round(expected.firstEventMillis()))
                .number("expected_end_ms", Math.round(expected.endMillis()))
                .number("expected_wait_ms", Math.round(expected.waitMillis()))
                .number("requests_ahead", Math.round(expected.requestsAhead()))
                .number("prefill_tokens_ahead", expected.prefillTokensAhead())
                .number("slots", target.slots())
                .number("pace_percent", expected.pacePercent())
                .number("reported_pace_percent", target.pace().reportedPercent())
                .number("pace_age_ms", target.pace().reportAgeMillis(nowMillis))
                .number(
                        "router_reports_age_ms",
                        context.selector().expectedTime().oldestPeerReportAgeMillis(nowMillis));
    }

    /** Returns the keys of the prompt parts that other requests may share, or null if there are none. */
    static @Nullable String promptPartsOf(ForwardRequest request) {
        List<PromptPart> parts = request.callerHead().sharedPromptParts();
        return parts.isEmpty() ? null : parts.stream().map(PromptPart::key).collect(Collectors.joining(" "));
    }

    void attemptLost(Attempt attempt, String cause, AttemptStatus status, boolean domainSuspect) {
        context.metrics().attemptEnded(service, status == AttemptStatus.NOT_SENT ? "unreachable" : "lost");
        context.log()
                .line("attempt_lost")
                .text("request", request.id())
                .text("upstream", attempt.instance().id())
                .text("cause", cause)
                .text("fate", status.name())
                .number("connection_requests", attempt.connectionRequestCount())
                .number("age_ms", now() - attempt.startedAtMillis())
                .number("events", attempt.eventCount())
                .number("ejected_ms", attempt.target().remainingEjectionMillis(now()))
                .flag("domain_suspect", domainSuspect)
                .write();
    }

    void attemptWithdrawn(Attempt attempt) {
        attemptEnded("withdrawn");
        context.log()
                .line("attempt_withdrawn")
                .text("request", request.id())
                .text("upstream", attempt.instance().id())
                .number("hold_off_ms", attempt.target().remainingHoldOffMillis(now()))
                .number("age_ms", now() - attempt.startedAtMillis())
                .write();
    }

    void lateResponseSkipped(Attempt attempt, UpstreamResponseHead head) {
        context.metrics().lateResponse();
        context.log()
                .line("late_response_skipped")
                .text("request", request.id())
                .text("upstream", attempt.instance().id())
                .text("response_request", head.attemptId())
                .number("status", head.status())
                .number("connection_requests", attempt.connectionRequestCount())
                .write();
    }

    void notExecuted(Attempt attempt, int status) {
        attemptEnded("not_executed");
        logResponse(attempt, "not_executed", status);
    }

    void upstreamError(Attempt attempt, int status) {
        attemptEnded("upstream_error");
        logResponse(attempt, "upstream_error", status);
    }

    private void logResponse(Attempt attempt, String event, int status) {
        context.log()
                .line(event)
                .text("request", request.id())
                .text("upstream", attempt.instance().id())
                .number("status", status)
                .number("connection_requests", attempt.connectionRequestCount())
                .number("age_ms", now() - attempt.startedAtMillis())
                .write();
    }

    /** Records the attempt whose response the caller gets. */
    void answered(Attempt attempt) {
        answeredBy = attempt;
        attemptEnded("answered");
    }

    void attemptEnded(String result) {
        context.metrics().attemptEnded(service, result);
    }

    void responseStarted() {
        context.metrics().responseStarted(route.name(), now() - request.arrivedAtMillis());
    }

    void streamResumed(Attempt attempt, long afterEvent, long pauseMillis, long sinceLossMillis) {
        context.metrics().streamResumed(pauseMillis);
        context.log()
                .line("stream_resumed")
                .text("request", request.id())
                .text("upstream", attempt.instance().id())
                .flag("from_copy", attempt.resumesFromBackup())
                .number("after_event", afterEvent)
                .number("pause_ms", pauseMillis)
                .number("since_loss_ms", sinceLossMillis)
                .write();
    }

    void resumptionDelayed(String reason, long afterEvent) {
        context.log()
                .line("resumption_delayed")
                .text("request", request.id())
                .text("reason", reason)
                .number("after_event", afterEvent)
                .write();
    }

    void requestEnded(String outcome, int status, AttemptHistory history, long lastEvent, long remainingMillis) {
        context.metrics().requestEnded(route.name(), status);
        if (outcome.equals(CALLER_GONE)) {
            context.metrics().callerGone(history.wasSent());
        }
        Attempt answer = answeredBy;
        lineWithUrgency("request_ended")
                .text("route", route.name())
                .text("organisation", request.organisation())
                .text("outcome", outcome)
                .number("status", status)
                .text("upstream", answer == null ? null : answer.instance().id())
                .number("connection_requests", answer == null ? 0 : answer.connectionRequestCount())
                .number("attempts", history.attemptCount())
                .flag("sent", history.wasSent())
                .number("last_event", lastEvent)
                .number("duration_ms", now() - request.arrivedAtMillis())
                .number("remaining_ms", remainingMillis)
                .write();
    }

    /** Starts a line that has the urgency if requests of the service differ in it. */
    private DecisionLog.Line lineWithUrgency(String event) {
        DecisionLog.Line line = context.log().line(event).text("request", request.id());
        Urgency inForce = urgency.inForce();
        return inForce == null ? line : line.number("urgency", inForce.level());
    }

    private long now() {
        return context.clock().nowMillis();
    }
}
