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
 * Runs a crash suspect, a request that ran on crashed upstreams, alone on an upstream. Reserves the upstream with the
 * lowest load and starts the request there once the other requests on it have ended.
 */
final class CrashSuspectIsolation {
    /** Time after which the request starts beside others, so that output resumes within 6 s if no upstream is idle. */
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

    /** Returns the fingerprint of a request: a prefix of the digest of its body, which includes the service name. */
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
        // If an attempt already runs on the reserved upstream, this is a hedge, which needs another upstream.
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

    /** Records a lost connection as a possible crash; it counts as isolated if the request ran alone. */
    void recordLoss(RunningAttempt attempt) {
        boolean isolated = exclusive && attempt.upstream() == reservedUpstream;
        quarantine.recordLoss(fingerprint, attempt.upstream().upstream(), attempt.incarnation(), isolated);
    }

    /** Releases the reserved upstream if the attempt failed there. */
    void recordFailure(RunningAttempt attempt) {
        if (attempt.upstream() == reservedUpstream) {
            release();
        }
    }

    /** Records that the answer is complete; a request that ran alone is no longer a suspect. */
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
