package io.laburnummoor.core.connection;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.request.PromptPart;
import org.jspecify.annotations.Nullable;

/** What this router knows about one life of an upstream; shared by all requests through atomics. */
public final class InstanceState {
    /** Time for which the first failure keeps new work away; doubles with each further one. */
    static final long BASE_EJECTION_MILLIS = 400;
    /** Longest time for which failures keep new work away. */
    static final long MAX_EJECTION_MILLIS = 3_200;
    /** Age at which a reported load says nothing about the present any more. */
    static final long LOAD_VALID_MILLIS = 1_500;
    /** Time for which a refusal counts as a sign that the upstream is full. */
    static final long FULL_HOLD_MILLIS = 150;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;
    private static final int MAX_DOUBLINGS = 3;
    private static final double FAILURE_RATE_WEIGHT = 0.15;

    private final Snapshot<UpstreamInstance> instance;
    private final AtomicInteger inFlightCount = new AtomicInteger();
    private final AtomicLong kvCacheTokens = new AtomicLong();
    private final AtomicLong prefillTokens = new AtomicLong();
    private final AtomicInteger consecutiveFailures = new AtomicInteger();
    private final AtomicLong ejectedUntilMillis = new AtomicLong(NEVER_MILLIS);
    private final AtomicLong fullUntilMillis = new AtomicLong(NEVER_MILLIS);
    private final AtomicLong lastSeenMillis = new AtomicLong(NEVER_MILLIS);
    private final AtomicLong endedAtMillis = new AtomicLong(Long.MAX_VALUE);
    private final AtomicReference<@Nullable ReportedLoad> reportedLoad = new AtomicReference<>();
    private final Snapshot<Double> failureRate = new Snapshot<>(0.0);
    private final Snapshot<PrefixCacheContents> prefixCache = new Snapshot<>(PrefixCacheContents.UNKNOWN);

    /** Creates the state of an upstream of which only the list's entry is known. */
    public InstanceState(UpstreamInstance instance) {
        this.instance = new Snapshot<>(instance);
    }

    /** Returns the list's last entry. */
    public UpstreamInstance instance() {
        return instance.get();
    }

    /** Replaces the list's entry by a later one of the same life. */
    public void update(UpstreamInstance later) {
        instance.replace(later);
    }

    /** Counts a request that is sent. */
    public void requestStarted(long tokens) {
        inFlightCount.incrementAndGet();
        kvCacheTokens.addAndGet(tokens);
        prefillTokens.addAndGet(tokens);
    }

    /** Counts the first event of a request, which ends the reading of its prompt. */
    public void prefillEnded(long tokens) {
        prefillTokens.addAndGet(-tokens);
    }

    /** Counts the end of a request. */
    public void requestEnded(long tokens) {
        inFlightCount.decrementAndGet();
        kvCacheTokens.addAndGet(-tokens);
    }

    /** Counts tokens of a copy that is kept here for another upstream, or takes them back with a negative number. */
    public void addBackupTokens(long tokens) {
        kvCacheTokens.addAndGet(tokens);
    }

    /** Returns the number of this router's requests here. */
    public int inFlightCount() {
        return inFlightCount.get();
    }

    /** Returns the tokens that this router's requests and copies take here. */
    public long kvCacheTokens() {
        return kvCacheTokens.get();
    }

    /** Returns the prompt tokens of this router's requests that have no event yet. */
    public long prefillTokens() {
        return prefillTokens.get();
    }

    /** Returns what this router uses of the upstream. */
    public UpstreamLoad ownLoad() {
        return new UpstreamLoad(inFlightCount.get(), prefillTokens.get(), kvCacheTokens.get());
    }

    /** Records the load that the upstream told with an answer. */
    public void recordReportedLoad(int running, int waiting, long nowMillis) {
        reportedLoad.set(new ReportedLoad(running, waiting, nowMillis, inFlightCount.get()));
    }

    /** Returns the age of the load that the upstream told last, or -1 if it has told none. */
    public long reportedLoadAgeMillis(long nowMillis) {
        ReportedLoad last = reportedLoad.get();
        return last == null ? -1 : nowMillis - last.receivedAtMillis;
    }

    /** Records a sign of life. */
    public void recordLastSeen(long nowMillis) {
        lastSeenMillis.accumulateAndGet(nowMillis, Math::max);
    }

    /** Returns when the upstream last showed that it lives, or a time long past. */
    public long lastSeenMillis() {
        return lastSeenMillis.get();
    }

    /** Returns the estimated number of requests here, those of other routers included. */
    public int estimatedLoad(long nowMillis) {
        ReportedLoad last = reportedLoad.get();
        int own = inFlightCount.get();
        if (last == null || nowMillis - last.receivedAtMillis > LOAD_VALID_MILLIS) {
            return own;
        }
        return own + Math.max(0, last.running + last.waiting - last.inFlightCountAtReport);
    }

    /** Records which prompt parts the upstream says that it keeps. */
    public void recordPrefixCache(Set<String> keys, long nowMillis) {
        prefixCache.replace(new PrefixCacheContents(keys, nowMillis));
    }

    /** Returns whether it is known which prompt parts the upstream keeps. */
    public boolean isPrefixCacheKnown(long nowMillis) {
        return prefixCache.get().isValid(nowMillis);
    }

    /** Returns the tokens of a prompt that the upstream need not read again, as far as known. */
    public long cachedPrefixTokens(List<PromptPart> prompt, long nowMillis) {
        PrefixCacheContents contents = prefixCache.get();
        return contents.isValid(nowMillis) ? contents.cachedPrefixTokens(prompt) : 0;
    }

    /** Records a complete answer. */
    public void recordSuccess() {
        consecutiveFailures.set(0);
        ejectedUntilMillis.set(NEVER_MILLIS);
        failureRate.update(before -> before * (1 - FAILURE_RATE_WEIGHT));
    }

    /** Records a failure of the upstream or of the way to it, which keeps new work away for a while. */
    public void recordFailure(long nowMillis) {
        int previousFailures = consecutiveFailures.getAndIncrement();
        failureRate.update(before -> before * (1 - FAILURE_RATE_WEIGHT) + FAILURE_RATE_WEIGHT);
        long ejectionMillis =
                Math.min(MAX_EJECTION_MILLIS, BASE_EJECTION_MILLIS << Math.min(previousFailures, MAX_DOUBLINGS));
        ejectedUntilMillis.accumulateAndGet(nowMillis + ejectionMillis, Math::max);
    }

    /** Records an error that the upstream answered; the upstream stays in use, less preferred. */
    public void recordError() {
        failureRate.update(before -> before * (1 - FAILURE_RATE_WEIGHT) + FAILURE_RATE_WEIGHT);
    }

    /** Records that the upstream refused a request because it is full. */
    public void recordFull(long nowMillis) {
        fullUntilMillis.accumulateAndGet(nowMillis + FULL_HOLD_MILLIS, Math::max);
    }

    /** Records that this life has ended; it gets no request from then on. */
    public void markEnded(long atMillis) {
        endedAtMillis.accumulateAndGet(atMillis, Math::min);
    }

    /** Takes back that this life has ended, after its entry has returned to the list. */
    public void clearEnded() {
        endedAtMillis.set(Long.MAX_VALUE);
    }

    /** Returns whether the platform's list says that new work may be sent. */
    public boolean isInService(long nowMillis) {
        return !instance.get().leaving() && nowMillis < endedAtMillis.get();
    }

    /** Returns whether failures keep new work away. */
    public boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis.get();
    }

    /** Returns for how long failures still keep new work away. */
    public long remainingEjectionMillis(long nowMillis) {
        return Math.max(0, ejectedUntilMillis.get() - nowMillis);
    }

    /** Returns whether a refusal in the last moments says that there is no room. */
    public boolean isFull(long nowMillis) {
        return nowMillis < fullUntilMillis.get();
    }

    /** Returns the moving share of answers that failed, from 0 to 1. */
    public double failureRate() {
        return failureRate.get();
    }

    private record ReportedLoad(int running, int waiting, long receivedAtMillis, int inFlightCountAtReport) {}
}
