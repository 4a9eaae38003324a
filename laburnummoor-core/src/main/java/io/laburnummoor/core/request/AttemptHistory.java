package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The attempts of one forwarded request. It decides whether another attempt is allowed and whether the caller may be
 * told that the request has not run. Not thread-safe: one request belongs to one event loop.
 *
 * <pre>{@code
 * int attempt = ledger.open("i-7f3a");
 * ledger.record(attempt, AttemptStatus.SENT);
 * ledger.record(attempt, AttemptStatus.UNKNOWN);
 * if (ledger.mayRepeat()) { … }
 * }</pre>
 */
public final class AttemptHistory {
    /** Attempts that did not run are bounded too, so that a request does not wander over a failing fleet for ever. */
    private static final int MAX_ATTEMPTS = 12;

    private final RetryPolicy retryPolicy;
    private final int maxUpstreams;
    private final List<AttemptStatus> statuses = new ArrayList<>();
    private final List<String> upstreams = new ArrayList<>();
    private final Set<String> endedUpstreams = new HashSet<>();

    /**
     * Creates a ledger without attempts.
     *
     * @param maxUpstreams greatest number of upstreams that may run the request
     */
    public AttemptHistory(RetryPolicy retryPolicy, int maxUpstreams) {
        this.retryPolicy = retryPolicy;
        this.maxUpstreams = maxUpstreams;
    }

    /** Adds an attempt that has not been sent and returns its number. */
    public int addAttempt(String upstreamId) {
        statuses.add(AttemptStatus.NOT_SENT);
        upstreams.add(upstreamId);
        return statuses.size() - 1;
    }

    /** Records what is known about an attempt; a final fate does not change any more. */
    public void record(int attempt, AttemptStatus status) {
        AttemptStatus previous = statuses.get(attempt);
        if (previous == AttemptStatus.NOT_SENT || previous == AttemptStatus.SENT) {
            statuses.set(attempt, status);
        }
    }

    /** Records that an upstream's process ended or became unreachable; its runs do not count against the bound. */
    public void recordUpstreamEnded(String upstreamId) {
        endedUpstreams.add(upstreamId);
    }

    /** Returns the fate of an attempt. */
    public AttemptStatus status(int attempt) {
        return statuses.get(attempt);
    }

    /** Returns the number of attempts. */
    public int attemptCount() {
        return statuses.size();
    }

    /** Returns whether any attempt may have run. */
    public boolean mayHaveRun() {
        return statuses.stream().anyMatch(AttemptStatus::mayHaveRun);
    }

    /** Returns whether the caller may be told that the request did not and will not run. */
    public boolean mayReportNotRun() {
        return !mayHaveRun();
    }

    /** Returns whether another attempt may start now. */
    public boolean mayRetry() {
        if (statuses.size() >= MAX_ATTEMPTS) {
            return false;
        }
        return !mayHaveRun() || (retryPolicy.mayRetryAfterRun() && countUpstreamsThatMayRun() < maxUpstreams);
    }

    private int countUpstreamsThatMayRun() {
        Set<String> counted = new HashSet<>();
        for (int i = 0; i < statuses.size(); i++) {
            if (statuses.get(i).mayHaveRun() && !endedUpstreams.contains(upstreams.get(i))) {
                counted.add(upstreams.get(i));
            }
        }
        return counted.size();
    }
}
