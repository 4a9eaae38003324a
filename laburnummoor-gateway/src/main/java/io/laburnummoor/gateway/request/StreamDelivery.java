package io.laburnummoor.gateway.request;

import java.util.HashSet;
import java.util.Set;

import io.laburnummoor.core.request.AttemptHistory;
import io.laburnummoor.gateway.connection.EventFramer;
import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Delivers the events of one stream to its caller, whichever attempt they come from, and records when the stream began
 * and was resumed. Confined to the event loop of the session.
 */
final class StreamDelivery {
    private static final int UPSTREAMS_CONFIRMING_END = 2;

    private final GatewayContext context;
    private final CallerExchange exchange;
    private final ForwardRequest request;
    private final AttemptHistory history;
    private final AttemptLauncher launcher;
    private final AttemptMonitor monitor;
    private final RequestTrace trace;
    private final StreamPosition position;
    private final Set<String> upstreamsWithoutMore = new HashSet<>();

    StreamDelivery(
            GatewayContext context,
            CallerExchange exchange,
            ForwardRequest request,
            AttemptHistory history,
            AttemptLauncher launcher,
            AttemptMonitor monitor,
            RequestTrace trace) {
        this.context = context;
        this.exchange = exchange;
        this.request = request;
        this.history = history;
        this.launcher = launcher;
        this.monitor = monitor;
        this.trace = trace;
        this.position = new StreamPosition(request.callerHead().lastEventId(), request.arrivedAtMillis());
    }

    long lastEventId() {
        return position.lastEventId();
    }

    /** Returns whether the response has been started. */
    boolean isStarted() {
        return position.isStarted();
    }

    /** Returns whether an event may be delivered next. */
    boolean isContinuedBy(EventFramer.Event event) {
        return position.isContinuedBy(event);
    }

    /** Records that the running attempt was lost. */
    void recordLoss(long nowMillis) {
        position.recordLoss(nowMillis);
    }

    /**
     * Returns whether the caller may still wait for an upstream that continues the stream. After that it is better
     * served by another router.
     */
    boolean mayWait(long nowMillis, String reason) {
        if (position.startWait(nowMillis)) {
            trace.resumptionDelayed(reason, position.lastEventId());
        }
        return position.mayWait(nowMillis);
    }

    /**
     * Returns whether a resumption that added no event proves that the stream was complete, also one that the caller
     * asked for. Nothing in a response says which event is the last one, so two upstreams have to agree; a response
     * without a body says nothing.
     */
    boolean confirmsEnd(Attempt attempt, UpstreamResponseHead head) {
        boolean resumes = position.isStarted() || position.lastEventId() > 0;
        if (!resumes || head.status() != HttpResponseStatus.OK.code()) {
            return false;
        }
        upstreamsWithoutMore.add(attempt.instance().id());
        return upstreamsWithoutMore.size() >= UPSTREAMS_CONFIRMING_END;
    }

    /** Returns whether the attempt's upstream said that the stream was complete, which is no failure of it. */
    boolean hasNoMore(Attempt attempt) {
        return upstreamsWithoutMore.contains(attempt.instance().id());
    }

    /** Passes an event to the caller, and starts the response with the first one. */
    void deliver(Attempt attempt, UpstreamResponseHead head, HttpHeaders headers, EventFramer.Event event) {
        long now = context.clock().nowMillis();
        if (!position.isStarted()) {
            begin(attempt, head, headers, now);
        }
        if (position.isResuming()) {
            position.traceResumption(trace, attempt, now);
        }
        if (event.hasId()) {
            monitor.progressed(now);
        }
        position.recordDelivered(event, now);
        exchange.writeEvents(Unpooled.wrappedBuffer(event.bytes()));
        if (!exchange.isWritable()) {
            attempt.setAutoRead(false);
        }
    }

    private void begin(Attempt attempt, UpstreamResponseHead head, HttpHeaders headers, long now) {
        startResponse(head, headers);
        launcher.loadChanged();
        launcher.recordOutcome(attempt, launcher.isSlow(attempt, now));
        if (attempt.target().inFlightCount() == 1 && history.attemptCount() == 1) {
            context.prefillRate().record(request.callerHead().promptTokens(), now - attempt.startedAtMillis());
        }
    }

    private void startResponse(UpstreamResponseHead head, HttpHeaders headers) {
        position.start();
        exchange.beginStream(head.status(), context.headerCodec().encodeCallerResponse(headers));
        trace.responseStarted();
    }

    /** Ends the response after its last event; it has none if the caller had all of them. */
    void end(UpstreamResponseHead head, HttpHeaders headers) {
        if (!position.isStarted()) {
            startResponse(head, headers);
        }
        if (request.callerHead().lastEventId() == 0) {
            context.state().streamDuration().record(context.clock().nowMillis() - request.arrivedAtMillis());
        }
        exchange.endStream();
    }
}
