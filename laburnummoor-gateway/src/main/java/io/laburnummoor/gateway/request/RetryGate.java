package io.laburnummoor.gateway.request;

import io.laburnummoor.core.request.AttemptHistory;
import io.laburnummoor.gateway.process.GatewayContext;

/** Decides whether one request may make another attempt. Confined to the event loop of the session. */
final class RetryGate {
    /** No further attempt is made with less time than this before the deadline. */
    private static final long MIN_REMAINING_MILLIS = 20;

    /** A sound upstream may be silent for a second or so. */
    private static final long MAX_SOUND_SILENCE_MILLIS = 2_000;

    private final GatewayContext context;
    private final String service;
    private final AttemptHistory history;
    private final CrashReporter crashReporter;
    private final long deadlineMillis;

    RetryGate(
            GatewayContext context,
            String service,
            AttemptHistory history,
            CrashReporter crashReporter,
            long deadlineMillis) {
        this.context = context;
        this.service = service;
        this.history = history;
        this.crashReporter = crashReporter;
        this.deadlineMillis = deadlineMillis;
    }

    long remainingMillis() {
        return Math.max(0, deadlineMillis - now());
    }

    /** Counts the request in the retry budget. */
    void recordRequest() {
        context.retryBudget().recordRequest(service, now());
    }

    /** Returns whether an attempt that was never sent may be followed by another one, which needs no retry. */
    boolean mayReplaceUnsent() {
        return remainingMillis() > MIN_REMAINING_MILLIS && history.mayRetry();
    }

    /** Returns whether another attempt is allowed, whatever the budget has left. */
    boolean mayRetry() {
        return mayReplaceUnsent() && !crashReporter.isQuarantined();
    }

    /** Returns whether another attempt is allowed and the budget has a retry for it, without taking it. */
    boolean hasRetry() {
        return mayRetry() && context.retryBudget().hasRetry(service, now());
    }

    /**
     * Returns whether a silent attempt may be replaced. While it may still be sound, one that has begun the stream is
     * kept if the replacement would be the last attempt, since nothing could follow a loss of that one.
     */
    boolean mayReplaceSilent(Attempt silent) {
        boolean maybeSound = now() - silent.lastActivityMillis() < MAX_SOUND_SILENCE_MILLIS;
        return hasRetry() && (!silent.hasEvents() || !maybeSound || history.mayRetryTwice());
    }

    /** Returns whether another attempt is allowed, and takes a retry from the budget for it. */
    boolean tryRetry() {
        return mayRetry() && context.retryBudget().tryRetry(service, now());
    }

    private long now() {
        return context.clock().nowMillis();
    }
}
