package io.laburnummoor.gateway.request;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedLoad;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.process.BufferBudget;
import io.laburnummoor.core.version.ForwardRoute;
import io.laburnummoor.gateway.connection.EventFramer;
import io.laburnummoor.gateway.connection.ResponseBuffer;
import io.laburnummoor.gateway.connection.UpstreamConnection;
import io.laburnummoor.gateway.connection.UpstreamListener;
import io.laburnummoor.gateway.process.AdmissionQueue;
import io.laburnummoor.gateway.process.DecisionLog;
import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * One attempt of a request on one upstream. Reads the response and reports it to the session. Confined to one event
 * loop.
 */
final class Attempt implements UpstreamListener {
    /** Limit on a response that is buffered completely before it is forwarded. */
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 16 << 20;

    /** Connections are not reused shortly before the upstream's idle timeout, when it may be closing them. */
    private static final long IDLE_MARGIN_MILLIS = 500;

    private static final long MILLIS_PER_SECOND = 1_000;
    /** The id of a response is whatever a faulty upstream sends. */
    private static final int MAX_LOGGED_ID_LENGTH = 64;

    /**
     * Bytes of events without an id that are passed on between two events with one. Fewer than the queue of a caller's
     * connection takes, so that a flood of them is not taken for a caller that does not read.
     */
    private static final int MAX_UNNUMBERED_BYTES = 32_768;

    private final ForwardSession session;
    private final ForwardCodec codec;
    private final Clock clock;
    private final DecisionLog log;
    private final AdmissionQueue admission;
    private final boolean streamRequested;
    /** Whether only events with an id are output; others, such as comments that keep a connection open, are not. */
    private final boolean numberedEvents;

    private final InstanceState target;
    private final @Nullable InstanceState backup;
    private final boolean resumesFromBackup;
    private final int number;
    private final long totalTokens;
    private final long prefillTokensAtStart;
    private final long startedAtMillis;
    private final BufferBudget bufferBudget;
    private final EventFramer framer;
    private String requestId = "";
    private @Nullable AttemptTiming timing;
    private @Nullable UpstreamConnection connection;
    private @Nullable UpstreamResponseHead head;
    private @Nullable HttpHeaders responseHeaders;
    private @Nullable ResponseBuffer fullBody;
    private long lastActivityMillis;
    private boolean streaming;
    private boolean prefillDone;
    private int eventCount;
    private int connectionRequestCount;
    /** Bytes of events without an id since the last one that has an id. */
    private int unnumberedBytes;

    private boolean ended;
    private boolean endedAfterAcceptance;

    Attempt(
            ForwardSession session,
            GatewayContext context,
            ForwardRoute route,
            InstanceState target,
            @Nullable InstanceState backup,
            boolean resumesFromBackup,
            int number,
            long totalTokens,
            long prefillTokensAtStart) {
        this.prefillTokensAtStart = prefillTokensAtStart;
        this.session = session;
        this.codec = context.headerCodec();
        this.clock = context.clock();
        this.log = context.log();
        this.admission = context.admission();
        this.bufferBudget = context.state().bufferBudget();
        this.framer = new EventFramer(bufferBudget);
        this.streamRequested = route.streaming();
        this.numberedEvents = route.retryPolicy().mayResumeStream();
        this.target = target;
        this.backup = backup;
        this.resumesFromBackup = resumesFromBackup;
        this.number = number;
        this.totalTokens = totalTokens;
        this.startedAtMillis = clock.nowMillis();
        this.lastActivityMillis = startedAtMillis;
        target.requestStarted(totalTokens);
        if (backup != null) {
            backup.addBackupTokens(totalTokens);
        }
    }

    /** Sets the expected time; without one, the times of the attempt are not measured. */
    void setTiming(AttemptTiming expected) {
        timing = expected;
    }

    /** Returns the expected time, or null if the upstream was selected by the number of requests. */
    @Nullable
    AttemptTiming timing() {
        return timing;
    }

    void send(UpstreamConnection open, FullHttpRequest request, String requestId) {
        connection = open;
        this.requestId = requestId;
        connectionRequestCount = open.requestCount() + 1;
        open.send(request, requestId, this);
    }

    /** Ends the attempt and closes its connection, so that the upstream stops processing the request. */
    void cancel() {
        UpstreamConnection open = connection;
        end();
        if (open != null) {
            open.cancel();
        }
    }

    /**
     * Removes the attempt from the load accounting of its upstreams and releases its buffer; further calls have no
     * effect.
     */
    void end() {
        if (ended) {
            return;
        }
        ended = true;
        connection = null;
        markPrefillDone();
        target.requestEnded(totalTokens);
        if (backup != null) {
            backup.addBackupTokens(-totalTokens);
        }
        if (fullBody != null) {
            fullBody.release();
            fullBody = null;
        }
        framer.close();
    }

    void setAutoRead(boolean reading) {
        UpstreamConnection open = connection;
        if (open != null) {
            open.setAutoRead(reading);
        }
    }

    /** Returns how many requests were sent on the attempt's connection, this one included; 0 if it was not sent. */
    int connectionRequestCount() {
        return connectionRequestCount;
    }

    /** Returns whether the upstream ended the attempt's connection after it had accepted it. */
    boolean wasEndedAfterAcceptance() {
        return endedAfterAcceptance;
    }

    /** Returns a task whose failure ends the request with an error. */
    Runnable guarded(Runnable task) {
        return session.guarded(task);
    }

    boolean hasEnded() {
        return ended;
    }

    int number() {
        return number;
    }

    InstanceState target() {
        return target;
    }

    @Nullable
    InstanceState backup() {
        return backup;
    }

    UpstreamInstance instance() {
        return target.instance();
    }

    boolean resumesFromBackup() {
        return resumesFromBackup;
    }

    /** Returns the prompt tokens that the upstream had yet to process at the start, including those of this attempt. */
    long prefillTokensAtStart() {
        return prefillTokensAtStart;
    }

    long startedAtMillis() {
        return startedAtMillis;
    }

    boolean hasEvents() {
        return eventCount > 0;
    }

    int eventCount() {
        return eventCount;
    }

    /** Returns when the last event arrived or the attempt started, or a later time set by {@link #recordActivity}. */
    long lastActivityMillis() {
        return lastActivityMillis;
    }

    void recordActivity(long nowMillis) {
        lastActivityMillis = nowMillis;
        target.recordLastSeen(nowMillis);
    }

    private void markPrefillDone() {
        if (!prefillDone) {
            prefillDone = true;
            target.prefillEnded(totalTokens);
            if (timing != null) {
                timing.prefillEnded();
            }
        }
    }

    @Override
    public void onHead(HttpResponse response) {
        if (ended) {
            return;
        }
        UpstreamResponseHead responseHead = codec.decodeUpstreamResponse(response);
        if (!requestId.equals(responseHead.attemptId())) {
            if (connection != null && connection.skipLateResponse(responseHead.attemptId())) {
                session.onLateResponse(this, responseHead);
                return;
            }
            failOnProtocolError("answer of another request: " + abbreviate(responseHead.attemptId()));
            return;
        }
        head = responseHead;
        responseHeaders = response.headers();
        UpstreamConnection open = connection;
        if (open != null && responseHead.keepAliveSeconds() > 0) {
            open.setIdleLimit(Math.max(0, responseHead.keepAliveSeconds() * MILLIS_PER_SECOND - IDLE_MARGIN_MILLIS));
        }
        long now = clock.nowMillis();
        target.recordLastSeen(now);
        UpstreamNotices.record(responseHead, target, now, log);
        ReportedLoad load = responseHead.load();
        admission.upstreamResponded(target.instance().service(), load != null && load.pacePercent() > 0);
        if (responseHead.isSuccess() && (!responseHead.sealed() || responseHead.contentEncoded())) {
            failOnProtocolError("success without the upstream's signature or with an encoding");
            return;
        }
        streaming = responseHead.isSuccess() && streamRequested;
        if (!streaming) {
            fullBody = new ResponseBuffer(bufferBudget, MAX_BUFFERED_RESPONSE_BYTES);
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        if (ended) {
            return;
        }
        if (streaming) {
            readEvents(content);
            return;
        }
        ResponseBuffer body = fullBody;
        if (body != null && !body.append(content)) {
            failOnProtocolError("answer does not fit into the memory after " + body.size() + " bytes");
        }
    }

    private void readEvents(ByteBuf content) {
        UpstreamResponseHead responseHead = head;
        HttpHeaders headers = responseHeaders;
        if (responseHead == null || headers == null) {
            return;
        }
        try {
            framer.add(content, event -> {
                if (!ended && recordEvent(event)) {
                    session.onEvent(this, responseHead, headers, event);
                }
            });
        } catch (IllegalArgumentException malformed) {
            failOnProtocolError("event is malformed");
        }
    }

    /** Returns whether the event is passed on to the caller. */
    private boolean recordEvent(EventFramer.Event event) {
        if (event.hasId() || !numberedEvents) {
            unnumberedBytes = 0;
            long now = clock.nowMillis();
            if (eventCount++ == 0 && timing != null) {
                timing.firstEvent(now);
            }
            markPrefillDone();
            recordActivity(now);
            return true;
        }
        unnumberedBytes = Math.min(MAX_UNNUMBERED_BYTES + 1, unnumberedBytes + event.bytes().length);
        // A comment before the first output would start the response although nothing is generated.
        return hasEvents() && unnumberedBytes <= MAX_UNNUMBERED_BYTES;
    }

    @Override
    public void onComplete() {
        guarded(this::complete).run();
    }

    private void complete() {
        UpstreamResponseHead responseHead = head;
        HttpHeaders headers = responseHeaders;
        if (ended || responseHead == null || headers == null) {
            return;
        }
        if (streaming) {
            if (framer.hasPartialEvent()) {
                failOnProtocolError("stream ended inside an event");
            } else {
                if (timing != null) {
                    timing.streamEnded(clock.nowMillis());
                }
                session.onStreamEnd(this, responseHead, headers);
            }
            return;
        }
        ResponseBuffer body = fullBody;
        fullBody = null;
        if (body != null) {
            deliver(responseHead, headers, body.detach());
        }
    }

    private void deliver(UpstreamResponseHead responseHead, HttpHeaders headers, ByteBuf body) {
        if (responseHead.isSuccess() && SecondResponseDetector.isIn(body, requestId)) {
            body.release();
            failOnProtocolError("body holds a second answer");
        } else {
            if (timing != null && responseHead.isSuccess()) {
                timing.callCompleted(clock.nowMillis());
            }
            session.onFullResponse(this, responseHead, headers, body);
        }
    }

    @Override
    public void onFailure(String cause) {
        if (!ended) {
            endedAfterAcceptance = connection != null && connection.wasEndedAfterAcceptance();
            guarded(() -> session.onConnectionFailed(this, cause)).run();
        }
    }

    private static String abbreviate(@Nullable String id) {
        return id == null ? "no id" : id.substring(0, Math.min(MAX_LOGGED_ID_LENGTH, id.length()));
    }

    private void failOnProtocolError(String cause) {
        UpstreamConnection open = connection;
        if (open != null) {
            open.cancel();
        }
        session.onLost(this, cause);
    }
}
