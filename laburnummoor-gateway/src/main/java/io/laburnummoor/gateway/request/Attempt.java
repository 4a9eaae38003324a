package io.laburnummoor.gateway.request;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.gateway.connection.EventFramer;
import io.laburnummoor.gateway.connection.UpstreamConnection;
import io.laburnummoor.gateway.connection.UpstreamListener;
import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/** One attempt of a request on one upstream: reads its answer and tells the session. Confined to one event loop. */
final class Attempt implements UpstreamListener {
    /** Bound on an answer that is kept whole before it is passed on. */
    private static final int MAX_WHOLE_ANSWER_BYTES = 16 << 20;

    /** Connections are not used in the last moments before the upstream closes them. */
    private static final long IDLE_MARGIN_MILLIS = 500;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final ForwardSession session;
    private final ForwardCodec codec;
    private final Clock clock;
    private final boolean streamRequested;
    private final InstanceState target;
    private final @Nullable InstanceState backup;
    private final boolean resumesFromCopy;
    private final int number;
    private final long tokens;
    private final long promptTokensAtStart;
    private final long startedMillis;
    private final EventFramer framer = new EventFramer();
    private @Nullable UpstreamConnection connection;
    private @Nullable AnswerHead head;
    private @Nullable HttpHeaders answerHeaders;
    private @Nullable ByteBuf whole;
    private long lastSignMillis;
    private boolean streaming;
    private boolean promptRead;
    private int eventCount;
    private boolean ended;

    Attempt(
            ForwardSession session,
            GatewayContext context,
            boolean streamRequested,
            InstanceState target,
            @Nullable InstanceState backup,
            boolean resumesFromCopy,
            int number,
            long tokens,
            long promptTokensAtStart) {
        this.promptTokensAtStart = promptTokensAtStart;
        this.session = session;
        this.codec = context.codec();
        this.clock = context.clock();
        this.streamRequested = streamRequested;
        this.target = target;
        this.backup = backup;
        this.resumesFromCopy = resumesFromCopy;
        this.number = number;
        this.tokens = tokens;
        this.startedMillis = clock.nowMillis();
        this.lastSignMillis = startedMillis;
        target.requestStarted(tokens);
        if (backup != null) {
            backup.addBackupTokens(tokens);
        }
    }

    void send(UpstreamConnection open, FullHttpRequest request) {
        connection = open;
        open.send(request, this);
    }

    /** Stops the attempt and closes its connection, so that the upstream stops working on it. */
    void cancel() {
        UpstreamConnection open = connection;
        end();
        if (open != null) {
            open.cancel();
        }
    }

    /** Releases what the attempt takes in the books of its upstreams; further calls have no effect. */
    void end() {
        if (ended) {
            return;
        }
        ended = true;
        connection = null;
        markPromptRead();
        target.requestEnded(tokens);
        if (backup != null) {
            backup.addBackupTokens(-tokens);
        }
        if (whole != null) {
            whole.release();
            whole = null;
        }
    }

    void setReading(boolean reading) {
        UpstreamConnection open = connection;
        if (open != null) {
            open.setReading(reading);
        }
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

    boolean resumesFromCopy() {
        return resumesFromCopy;
    }

    /** Returns the prompt tokens that the upstream had yet to read at the start, those of this attempt included. */
    long promptTokensAtStart() {
        return promptTokensAtStart;
    }

    long startedMillis() {
        return startedMillis;
    }

    boolean hasEvents() {
        return eventCount > 0;
    }

    int eventCount() {
        return eventCount;
    }

    /** Returns when the last event arrived, or when the attempt started. */
    long lastSignMillis() {
        return lastSignMillis;
    }

    void recordSign(long nowMillis) {
        lastSignMillis = nowMillis;
        target.recordLastSeen(nowMillis);
    }

    private void markPromptRead() {
        if (!promptRead) {
            promptRead = true;
            target.prefillEnded(tokens);
        }
    }

    @Override
    public void onHead(HttpResponse response) {
        if (ended) {
            return;
        }
        AnswerHead answer = codec.decodeAnswer(response);
        if (!session.isOwnAnswer(answer)) {
            breakProtocol("answer of another request");
            return;
        }
        head = answer;
        answerHeaders = response.headers();
        UpstreamConnection open = connection;
        if (open != null && answer.idleSeconds() > 0) {
            open.limitIdle(Math.max(0, answer.idleSeconds() * MILLIS_PER_SECOND - IDLE_MARGIN_MILLIS));
        }
        long now = clock.nowMillis();
        target.recordLastSeen(now);
        AnswerHead.Load load = answer.load();
        if (load != null) {
            target.recordReportedLoad(load.running(), load.waiting(), now);
        }
        if (answer.isSuccess() && (!answer.sealed() || answer.encoded())) {
            breakProtocol("success without the upstream's signature or with an encoding");
            return;
        }
        streaming = answer.isSuccess() && streamRequested;
        if (!streaming) {
            whole = Unpooled.buffer();
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
        ByteBuf body = whole;
        if (body != null) {
            body.writeBytes(content);
            if (body.readableBytes() > MAX_WHOLE_ANSWER_BYTES) {
                breakProtocol("answer is larger than " + MAX_WHOLE_ANSWER_BYTES + " bytes");
            }
        }
    }

    private void readEvents(ByteBuf content) {
        AnswerHead answer = head;
        HttpHeaders headers = answerHeaders;
        if (answer == null || headers == null) {
            return;
        }
        try {
            framer.add(content, event -> {
                if (!ended) {
                    eventCount++;
                    markPromptRead();
                    recordSign(clock.nowMillis());
                    session.onEvent(this, answer, headers, event);
                }
            });
        } catch (IllegalArgumentException malformed) {
            breakProtocol("event is malformed");
        }
    }

    @Override
    public void onComplete() {
        AnswerHead answer = head;
        HttpHeaders headers = answerHeaders;
        if (ended || answer == null || headers == null) {
            return;
        }
        if (streaming) {
            if (framer.hasPartialEvent()) {
                breakProtocol("stream ended inside an event");
            } else {
                session.onStreamEnd(this);
            }
            return;
        }
        ByteBuf body = whole;
        whole = null;
        if (body != null) {
            session.onWholeAnswer(this, answer, headers, body);
        }
    }

    @Override
    public void onBroken(String cause) {
        if (!ended) {
            session.onBroken(this, cause);
        }
    }

    private void breakProtocol(String cause) {
        UpstreamConnection open = connection;
        if (open != null) {
            open.cancel();
        }
        session.onLost(this, cause);
    }
}
