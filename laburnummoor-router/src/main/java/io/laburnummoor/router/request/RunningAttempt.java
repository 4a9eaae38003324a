package io.laburnummoor.router.request;

import java.util.concurrent.atomic.AtomicBoolean;

import io.laburnummoor.core.connection.UpstreamReport;
import io.laburnummoor.core.connection.UpstreamState;
import io.laburnummoor.core.process.ResumptionLimiter;
import io.laburnummoor.core.request.AttemptFailure;
import io.laburnummoor.core.request.EngineStream;
import io.laburnummoor.core.request.EngineStreamListener;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.Token;
import io.laburnummoor.core.version.AttemptOutcome;
import io.laburnummoor.core.version.TokenLatencyTracker;
import org.jspecify.annotations.Nullable;

/**
 * One attempt on an upstream. Counts it among the upstream's running requests, records its token latencies and forwards
 * its events to the session.
 */
final class RunningAttempt implements EngineStreamListener {
    private static final long NANOS_PER_MICRO = 1_000;

    private final int number;
    private final UpstreamState upstream;
    private final TokenLatencyTracker latencyTracker;
    private final GenerationSession session;
    private final AttemptStatistics statistics;
    private final long incarnation;
    private final AtomicBoolean countedAsRunning = new AtomicBoolean(true);
    private volatile @Nullable EngineStream stream;
    private volatile ResumptionLimiter.@Nullable Permit permit;
    private volatile boolean cancelled;
    private long lastEventNanos = System.nanoTime();
    private boolean firstTokenSeen;

    RunningAttempt(
            int number,
            UpstreamState upstream,
            TokenLatencyTracker latencyTracker,
            GenerationSession session,
            AttemptStatistics statistics) {
        this.number = number;
        this.upstream = upstream;
        this.latencyTracker = latencyTracker;
        this.session = session;
        this.statistics = statistics;
        UpstreamReport report = upstream.report();
        this.incarnation = report == null ? 0 : report.upstreamIncarnation();
        upstream.requestStarted();
    }

    /** Returns the number of this attempt. */
    int number() {
        return number;
    }

    /** Returns the upstream that runs this attempt. */
    UpstreamState upstream() {
        return upstream;
    }

    /** Returns the incarnation of the upstream when this attempt was started. */
    long incarnation() {
        return incarnation;
    }

    /** Returns whether the router has cancelled this attempt. */
    boolean isCancelled() {
        return cancelled;
    }

    /** Sets the stream that the engine client has returned; cancels it if the attempt has been cancelled meanwhile. */
    void attach(EngineStream started) {
        stream = started;
        if (cancelled) {
            started.cancel();
        }
    }

    /** Cancels the stream and stops counting this attempt. */
    void cancel() {
        cancelled = true;
        EngineStream started = stream;
        if (started != null) {
            started.cancel();
        }
        statistics.end(AttemptOutcome.End.COMPLETED);
        release();
    }

    @Override
    public void onToken(int offset, Token token) {
        long nowNanos = System.nanoTime();
        long elapsedMicros = (nowNanos - lastEventNanos) / NANOS_PER_MICRO;
        lastEventNanos = nowNanos;
        statistics.onToken(nowNanos);
        if (firstTokenSeen) {
            latencyTracker.recordInterTokenLatencyMicros(elapsedMicros);
        } else {
            firstTokenSeen = true;
            releasePermit();
            latencyTracker.recordTimeToFirstTokenMicros(elapsedMicros);
        }
        session.onToken(this, offset, token);
    }

    @Override
    public void onEnd(int tokenCount, FinishReason reason) {
        statistics.end(AttemptOutcome.End.COMPLETED);
        release();
        session.onEnd(this, tokenCount, reason);
    }

    @Override
    public void onFailure(AttemptFailure failure, String detail) {
        statistics.end(failure == AttemptFailure.UPSTREAM_ERROR ? AttemptOutcome.End.ERROR : AttemptOutcome.End.LOST);
        release();
        session.onAttemptFailed(this, failure, detail);
    }

    /** Sets the permit of a resumption, which is released at the first token or at the end of the attempt. */
    void setPermit(ResumptionLimiter.Permit held) {
        permit = held;
        if (cancelled) {
            held.release();
        }
    }

    private void releasePermit() {
        ResumptionLimiter.Permit held = permit;
        if (held != null) {
            held.release();
        }
    }

    private void release() {
        releasePermit();
        if (countedAsRunning.compareAndSet(true, false)) {
            upstream.requestEnded();
        }
    }
}
