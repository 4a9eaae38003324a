package io.laburnummoor.router.request;

import java.util.Set;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.connection.UpstreamReport;
import io.laburnummoor.core.connection.UpstreamState;
import io.laburnummoor.core.process.Quarantine;
import io.laburnummoor.core.process.RoutingTable;
import io.laburnummoor.core.request.Binding;
import io.laburnummoor.core.request.GenerationRequest;
import org.jspecify.annotations.Nullable;

/**
 * Gives a request that ran on crashed upstreams an upstream of its own. The upstream with the least work is reserved;
 * the request starts there once its other work has ended.
 */
final class CrashSuspectIsolation {
    /** Time after which a request starts beside others, so that output resumes within 6 s if no upstream is idle. */
    private static final long MAX_RESERVATION_WAIT_MILLIS = 2_000;

    private static final int FINGERPRINT_CHARS = 32;

    private final Quarantine quarantine;
    private final RoutingTable routing;
    private final Clock clock;
    private final String fingerprint;
    private @Nullable UpstreamState reservedUpstream;
    private long reservedAtMillis;
    private boolean started;
    private boolean exclusive;

    CrashSuspectIsolation(GenerationRequest request, Quarantine quarantine, RoutingTable routing, Clock clock) {
        this.fingerprint = fingerprint(request);
        this.quarantine = quarantine;
        this.routing = routing;
        this.clock = clock;
    }

    /** Returns the fingerprint of a request: the start of its body's digest, which covers the service as well. */
    static String fingerprint(GenerationRequest request) {
        String digest = request.bodyDigest();
        return digest.substring(0, Math.min(FINGERPRINT_CHARS, digest.length()));
    }

    boolean isBlocked() {
        return quarantine.isBlocked(fingerprint);
    }

    boolean isNeeded() {
        return quarantine.needsIsolation(fingerprint);
    }

    /** Returns the upstream on which the request may start now, or null if it has to wait. */
    @Nullable
    UpstreamState selectUpstream(Binding binding) {
        if (quarantine.isAwaitingDecision(fingerprint)) {
            return null;
        }
        long nowMillis = clock.nowMillis();
        UpstreamState upstream = reservedUpstream;
        // A hedge of an attempt that runs here already goes elsewhere.
        if (upstream == null || started || !upstream.isAvailable(nowMillis)) {
            release();
            upstream = reserve(binding, nowMillis);
        }
        if (upstream == null) {
            return null;
        }
        exclusive = upstream.estimatedLoad() == 0;
        started = exclusive || nowMillis - reservedAtMillis >= MAX_RESERVATION_WAIT_MILLIS;
        return started ? upstream : null;
    }

    /** Records a lost connection. */
    void recordLoss(RunningAttempt attempt) {
        boolean isolated = exclusive && attempt.upstream() == reservedUpstream;
        quarantine.recordLoss(fingerprint, attempt.upstream().upstream(), attempt.incarnation(), isolated);
    }

    /** Ends the reservation of a failed attempt. */
    void recordFailure(RunningAttempt attempt) {
        if (attempt.upstream() == reservedUpstream) {
            release();
        }
    }

    /** Records that the answer is complete; one that ran alone is cleared. */
    void recordFinish() {
        if (reservedUpstream != null && exclusive) {
            quarantine.recordIsolatedSuccess(fingerprint);
        }
    }

    void release() {
        UpstreamState upstream = reservedUpstream;
        reservedUpstream = null;
        started = false;
        exclusive = false;
        if (upstream != null) {
            upstream.endIsolation(this);
        }
    }

    private @Nullable UpstreamState reserve(Binding binding, long nowMillis) {
        Set<String> excludedDomains = quarantine.pendingLossDomains(fingerprint);
        UpstreamState best = null;
        for (UpstreamState each : routing.snapshot().ofService(binding.service())) {
            UpstreamReport report = each.report();
            if (report != null
                    && each.isAvailable(nowMillis)
                    && !each.isIsolated()
                    && !excludedDomains.contains(each.upstream().failureDomain())
                    && report.version().equals(binding.version())
                    && (binding.adapter().isEmpty() || report.adapters().contains(binding.adapter()))
                    && (best == null || each.estimatedLoad() < best.estimatedLoad())) {
                best = each;
            }
        }
        if (best == null || !best.isolate(this)) {
            return null;
        }
        reservedUpstream = best;
        reservedAtMillis = nowMillis;
        return best;
    }
}
