package io.laburnummoor.router.request;

import java.util.concurrent.atomic.AtomicBoolean;

import io.laburnummoor.core.connection.UpstreamState;
import io.laburnummoor.core.request.Binding;
import io.laburnummoor.core.version.AttemptOutcome;
import io.laburnummoor.core.version.AttemptRecorder;
import io.laburnummoor.core.version.LoadLevel;
import io.laburnummoor.core.version.Stratum;

/** Measures the token latencies of one attempt and reports its outcome to the {@link AttemptRecorder} exactly once. */
final class AttemptStatistics {
    private static final String BASE_MODEL_ROUTE = "base";
    private static final long NANOS_PER_MICRO = 1_000;

    private final Binding binding;
    private final Stratum stratum;
    private final AttemptRecorder recorder;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final long startNanos = System.nanoTime();
    private volatile long firstTokenNanos;
    private volatile long lastTokenNanos;
    private volatile int tokenCount;

    private AttemptStatistics(Binding binding, Stratum stratum, AttemptRecorder recorder) {
        this.binding = binding;
        this.stratum = stratum;
        this.recorder = recorder;
    }

    /** Starts measuring an attempt that is about to be sent to an upstream. */
    static AttemptStatistics start(Binding binding, UpstreamState upstream, GenerationContext context) {
        Stratum stratum = new Stratum(
                binding.adapter().isEmpty() ? BASE_MODEL_ROUTE : binding.adapter(),
                LoadLevel.of(upstream.estimatedLoad()),
                upstream.upstream().failureDomain());
        return new AttemptStatistics(binding, stratum, context.attemptRecorder());
    }

    /** Records the arrival of a token; called by one thread at a time. */
    @SuppressWarnings("NonAtomicOperationOnVolatileField") // Only the stream thread writes.
    void onToken(long nowNanos) {
        if (tokenCount == 0) {
            firstTokenNanos = nowNanos;
        }
        lastTokenNanos = nowNanos;
        tokenCount = tokenCount + 1;
    }

    /** Reports the outcome unless it has already been reported. */
    void end(AttemptOutcome.End end) {
        if (ended.compareAndSet(false, true)) {
            int tokens = tokenCount;
            // For a cancelled attempt without a token, the elapsed time is a lower bound of the time to first token.
            // Leaving it out would bias the statistics towards fast attempts.
            long firstNanos = (tokens > 0 ? firstTokenNanos : System.nanoTime()) - startNanos;
            long gapNanos = tokens > 1 ? (lastTokenNanos - firstTokenNanos) / (tokens - 1) : 0;
            boolean hasFirstTokenTime = tokens > 0 || end == AttemptOutcome.End.COMPLETED;
            recorder.record(
                    binding.service(),
                    binding.version(),
                    stratum,
                    new AttemptOutcome(
                            end, hasFirstTokenTime ? firstNanos / NANOS_PER_MICRO : 0, gapNanos / NANOS_PER_MICRO));
        }
    }
}
