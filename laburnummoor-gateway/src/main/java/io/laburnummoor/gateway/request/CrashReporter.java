package io.laburnummoor.gateway.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.laburnummoor.core.connection.CrashRecord;
import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.PromptPartCrash;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.process.PromptPartQuarantine;
import io.laburnummoor.core.process.SuspectPromptPart;
import io.laburnummoor.gateway.connection.UpstreamPool;
import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.channel.EventLoop;

/**
 * Counts crashes of upstreams against the request that was running and against the prompt parts that it shares with
 * others, and tells whether one of them is quarantined. Confined to the event loop of the session.
 */
final class CrashReporter {
    /** Number of crashed upstreams from which a request is quarantined. */
    private static final int QUARANTINE_CRASHES = 3;
    /** By then the loss of a whole failure domain has been detected, and a crashed upstream has not yet restarted. */
    private static final long CONFIRM_DELAY_MILLIS = 600;
    /** An upstream that responds to another request so long after the loss has not crashed. */
    private static final long SEEN_AFTER_MILLIS = 50;
    /** A request that crashes engines does so when it starts to run; a later loss has another cause. */
    private static final int MAX_EVENTS_BEFORE_CRASH = 3;

    private static final long RETRY_AFTER_QUARANTINE_MILLIS = 2_000;

    private final GatewayContext context;
    private final EventLoop loop;
    private final UpstreamPool pool;
    private final ForwardRequest request;
    private final List<String> promptParts;
    private boolean trial;
    /** Crashes during this session, which are known before they are counted against the request. */
    private final List<PromptPartCrash> ownCrashes = new ArrayList<>();

    CrashReporter(
            GatewayContext context, EventLoop loop, UpstreamPool pool, ForwardRequest request, String serviceName) {
        this.context = context;
        this.loop = loop;
        this.pool = pool;
        this.request = request;
        this.promptParts = request.callerHead().sharedPromptParts().stream()
                .map(each -> each.crashKey(serviceName))
                .toList();
    }

    /** Decides whether a new request may run; returns the time until the caller should come back, 0 if it may. */
    long refusedForMillis() {
        if (isRequestQuarantined()) {
            return RETRY_AFTER_QUARANTINE_MILLIS;
        }
        PromptPartQuarantine.Verdict verdict = context.promptParts().check(promptParts);
        trial = verdict.trial();
        if (trial) {
            context.log()
                    .line("quarantine_trial")
                    .text("request", request.id())
                    .text("prompt_parts", String.join(" ", promptParts))
                    .write();
        }
        return verdict.admitted() ? 0 : Math.max(RETRY_AFTER_QUARANTINE_MILLIS, verdict.retryAfterMillis());
    }

    /** Returns whether the request must not run again, and must stop if it has not produced output. */
    boolean isQuarantined() {
        return isRequestQuarantined() || (!trial && context.promptParts().isBlocked(promptParts));
    }

    private boolean isRequestQuarantined() {
        return SuspectPromptPart.countMoments(ownCrashes) >= QUARANTINE_CRASHES
                || !context.crashSuspects().isEmpty()
                        && context.crashSuspects().crashCount(request.fingerprint()) >= QUARANTINE_CRASHES;
    }

    /** Called when an event of an attempt has been received. */
    void onProgress(Attempt attempt) {
        if (attempt.eventCount() == MAX_EVENTS_BEFORE_CRASH + 1) {
            clearPromptParts();
        }
    }

    /**
     * Called when the request ran to a good end, which clears it and its prompt parts. Without it, the crashes of
     * engines that ended for other reasons would add up for a path that one caller uses all the time.
     */
    void onBegun() {
        clearPromptParts();
        if (!context.crashSuspects().isEmpty()) {
            context.crashSuspects().recordSuccess(request.fingerprint());
        }
    }

    private void clearPromptParts() {
        if (!promptParts.isEmpty()) {
            trial = false;
            context.promptParts().recordBegun(promptParts);
        }
    }

    /**
     * Called when the connection of an attempt broke. Calls back when the request may go on elsewhere: a request with
     * shared prompt parts waits until it is known whether the upstream crashed, which takes one connection attempt.
     */
    void onConnectionLost(Attempt attempt, Runnable whenChecked) {
        UpstreamInstance instance = attempt.instance();
        if (attempt.eventCount() > MAX_EVENTS_BEFORE_CRASH) {
            whenChecked.run();
            return;
        }
        long wallMillis = System.currentTimeMillis();
        // The body is no longer there when the crash is confirmed.
        String fingerprint = request.fingerprint();
        context.crashSuspects().recordLoss(fingerprint);
        loop.schedule(
                () -> confirmRequestCrash(instance, fingerprint, wallMillis),
                CONFIRM_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
        if (promptParts.isEmpty()) {
            whenChecked.run();
            return;
        }
        pool.probe(instance, alive -> {
            if (!alive) {
                countPromptPartCrash(instance, fingerprint, wallMillis);
            }
            whenChecked.run();
            if (alive && attempt.wasEndedAfterAcceptance()) {
                checkLasting(attempt.target(), fingerprint, wallMillis);
            }
        });
    }

    /**
     * Counts a crash if the upstream accepts connections without keeping them, and its other ones are silent, too. This
     * is evidence only after the loss of a connection that the upstream had accepted: an upstream at its connection
     * limit resets the one of the request and this one alike.
     */
    private void checkLasting(InstanceState upstream, String fingerprint, long wallMillis) {
        long aliveAfterMillis = context.clock().nowMillis() + SEEN_AFTER_MILLIS;
        pool.probeLasting(upstream.instance(), lasting -> {
            if (!lasting && upstream.lastSeenMillis() <= aliveAfterMillis) {
                countPromptPartCrash(upstream.instance(), fingerprint, wallMillis);
            }
        });
    }

    private void countPromptPartCrash(UpstreamInstance instance, String fingerprint, long wallMillis) {
        trial = false;
        PromptPartCrash crash = PromptPartCrash.of(instance, wallMillis, fingerprint);
        ownCrashes.add(crash);
        context.promptParts().recordCrash(promptParts, crash);
        context.loadExchange().stateChanged();
        context.log()
                .line("prompt_part_crash")
                .text("request", request.id())
                .text("upstream", instance.id())
                .text("prompt_parts", String.join(" ", promptParts))
                .write();
    }

    /**
     * Counts the crash against the request if the upstream accepts no connection after a short delay and the rest of
     * its failure domain is alive; otherwise the request is not the cause.
     */
    private void confirmRequestCrash(UpstreamInstance instance, String fingerprint, long wallMillis) {
        long now = context.clock().nowMillis();
        if (context.domainOutages().isSuspect(instance.service(), instance.failureDomain(), now)) {
            return;
        }
        pool.probe(instance, alive -> {
            if (alive) {
                return;
            }
            context.crashSuspects().recordCrash(fingerprint, new CrashRecord(instance.id(), wallMillis, false));
            context.loadExchange().stateChanged();
            context.log()
                    .line("crash_counted")
                    .text("request", request.id())
                    .text("upstream", instance.id())
                    .text("fingerprint", fingerprint)
                    .text("prompt_parts", RequestTrace.promptPartsOf(request))
                    .number("crashes", context.crashSuspects().crashCount(fingerprint))
                    .write();
        });
    }
}
