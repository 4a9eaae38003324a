package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Records the attempts of one forwarded request and decides whether another attempt is allowed and whether the caller
 * may be told that the request has not run. Not thread-safe: each request is confined to one event loop.
 *
 * <pre>{@code
 * int attempt = history.addAttempt("i-7f3a");
 * history.record(attempt, AttemptStatus.SENT);
 * history.record(attempt, AttemptStatus.UNKNOWN);
 * if (history.mayRetry()) { … }
 * }</pre>
 */
public final class AttemptHistory {
    /** Also limits the attempts that did not run, so that a request is not retried forever while all upstreams fail. */
    private static final int MAX_ATTEMPTS = 12;

    private final RetryPolicy retryPolicy;
    private final int maxUpstreams;
    private final List<AttemptStatus> statuses = new ArrayList<>();
    private final List<String> upstreams = new ArrayList<>();
    private final Set<String> endedUpstreams = new HashSet<>();
    private int withdrawnCount;

    /**
     * Creates a history without attempts.
     *
     * @param maxUpstreams maximum number of upstreams that may run the request
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

    /** Records the status of an attempt; a final status is never overwritten. */
    public void record(int attempt, AttemptStatus status) {
        AttemptStatus previous = statuses.get(attempt);
        if (previous == AttemptStatus.NOT_SENT || previous == AttemptStatus.SENT) {
            statuses.set(attempt, status);
        }
    }

    /**
     * Records that an upstream's process ended or became unreachable; its attempts do not count towards the maximum
     * number of upstreams.
     */
    public void recordUpstreamEnded(String upstreamId) {
        endedUpstreams.add(upstreamId);
    }

    /** Records that an attempt was given up before it was sent; it does not count towards the maximum of attempts. */
    public void recordWithdrawn(int attempt) {
        if (statuses.get(attempt) != AttemptStatus.NOT_SENT) {
            throw new IllegalStateException("attempt " + attempt + " was sent");
        }
        withdrawnCount++;
    }

    public AttemptStatus status(int attempt) {
        return statuses.get(attempt);
    }

    public int attemptCount() {
        return statuses.size();
    }

    /** Returns whether any attempt has been sent to an upstream. */
    public boolean wasSent() {
        return statuses.stream().anyMatch(each -> each != AttemptStatus.NOT_SENT);
    }

    /** Returns whether an earlier attempt was sent to the same upstream as this one. */
    public boolean repeatsUpstream(int attempt) {
        for (int i = 0; i < attempt; i++) {
            if (statuses.get(i) != AttemptStatus.NOT_SENT && upstreams.get(i).equals(upstreams.get(attempt))) {
                return true;
            }
        }
        return false;
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
        return mayRun(1);
    }

    /** Returns whether two more attempts may run, one after the other. */
    public boolean mayRetryTwice() {
        return mayRun(2);
    }

    private boolean mayRun(int moreAttempts) {
        if (statuses.size() - withdrawnCount + moreAttempts > MAX_ATTEMPTS) {
            return false;
        }
        return !mayHaveRun() || (retryPolicy.mayRetryAfterRun() && countRuns() + moreAttempts <= maxUpstreams);
    }

    /** Returns how many attempts may have run on upstreams that are still alive; several may be on the same one. */
    private int countRuns() {
        int count = 0;
        for (int i = 0; i < statuses.size(); i++) {
            if (statuses.get(i).mayHaveRun() && !endedUpstreams.contains(upstreams.get(i))) {
                count++;
            }
        }
        return count;
    }
}
