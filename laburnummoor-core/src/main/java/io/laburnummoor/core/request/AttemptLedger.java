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
 * ledger.record(attempt, AttemptFate.SENT);
 * ledger.record(attempt, AttemptFate.UNKNOWN);
 * if (ledger.mayRepeat()) { … }
 * }</pre>
 */
public final class AttemptLedger {
    /** Attempts that did not run are bounded too, so that a request does not wander over a failing fleet for ever. */
    private static final int MAX_ATTEMPTS = 12;

    private final RepeatRule rule;
    private final int maxUpstreams;
    private final List<AttemptFate> fates = new ArrayList<>();
    private final List<String> upstreams = new ArrayList<>();
    private final Set<String> endedUpstreams = new HashSet<>();

    /**
     * Creates a ledger without attempts.
     *
     * @param maxUpstreams greatest number of upstreams that may run the request
     */
    public AttemptLedger(RepeatRule rule, int maxUpstreams) {
        this.rule = rule;
        this.maxUpstreams = maxUpstreams;
    }

    /** Adds an attempt that has not been sent and returns its number. */
    public int open(String upstreamId) {
        fates.add(AttemptFate.NOT_SENT);
        upstreams.add(upstreamId);
        return fates.size() - 1;
    }

    /** Records what is known about an attempt; a final fate does not change any more. */
    public void record(int attempt, AttemptFate fate) {
        AttemptFate before = fates.get(attempt);
        if (before == AttemptFate.NOT_SENT || before == AttemptFate.SENT) {
            fates.set(attempt, fate);
        }
    }

    /** Records that an upstream's process ended or became unreachable; its runs do not count against the bound. */
    public void recordEnded(String upstreamId) {
        endedUpstreams.add(upstreamId);
    }

    /** Returns the fate of an attempt. */
    public AttemptFate fate(int attempt) {
        return fates.get(attempt);
    }

    /** Returns the number of attempts. */
    public int attemptCount() {
        return fates.size();
    }

    /** Returns whether any attempt may have run. */
    public boolean mayHaveRun() {
        return fates.stream().anyMatch(AttemptFate::mayHaveRun);
    }

    /** Returns whether the caller may be told that the request did not and will not run. */
    public boolean mayPromiseNotRun() {
        return !mayHaveRun();
    }

    /** Returns whether another attempt may start now. */
    public boolean mayRepeat() {
        if (fates.size() >= MAX_ATTEMPTS) {
            return false;
        }
        return !mayHaveRun() || (rule.repeatsAfterRun() && countedUpstreams() < maxUpstreams);
    }

    private int countedUpstreams() {
        Set<String> counted = new HashSet<>();
        for (int i = 0; i < fates.size(); i++) {
            if (fates.get(i).mayHaveRun() && !endedUpstreams.contains(upstreams.get(i))) {
                counted.add(upstreams.get(i));
            }
        }
        return counted.size();
    }
}
