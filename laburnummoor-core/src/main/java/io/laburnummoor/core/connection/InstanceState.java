package io.laburnummoor.core.connection;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.process.RendezvousHash;
import io.laburnummoor.core.request.PromptPart;
import org.jspecify.annotations.Nullable;

/**
 * State that a gateway keeps for one incarnation of an upstream; thread-safe, shared by all requests. The corresponding
 * class of the module laburnummoor-router is {@link UpstreamState}.
 */
public final class InstanceState {
    /** Ejection time after the first failure; doubles with each consecutive failure. */
    static final long BASE_EJECTION_MILLIS = 400;
    /** Upper bound of the ejection time. */
    static final long MAX_EJECTION_MILLIS = 3_200;
    /** Age up to which a reported load is used for estimates. */
    static final long LOAD_VALID_MILLIS = 1_500;
    /** Time for which the upstream counts as full after it refused a request. */
    public static final long FULL_HOLD_MILLIS = 150;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;
    private static final int MAX_DOUBLINGS = 3;
    /** Weight of the latest answer in the moving average of failed answers. */
    private static final double FAILURE_RATE_WEIGHT = 0.15;

    private final Snapshot<UpstreamInstance> instance;
    private final AtomicLong firstHeartbeatNumber;
    private final long idHash;
    private final AtomicInteger inFlightCount = new AtomicInteger();
    private final AtomicLong kvCacheTokens = new AtomicLong();
    private final AtomicLong prefillTokens = new AtomicLong();
    private final AtomicLong longPrefillTokens = new AtomicLong();
    private final UpstreamPace pace = new UpstreamPace();
    private final AtomicInteger consecutiveFailures = new AtomicInteger();
    private final AtomicLong ejectedUntilMillis = new AtomicLong(NEVER_MILLIS);
    private final AtomicLong fullUntilMillis = new AtomicLong(NEVER_MILLIS);
    private final AtomicLong lastSeenMillis = new AtomicLong(NEVER_MILLIS);
    private final AtomicLong endedAtMillis = new AtomicLong(Long.MAX_VALUE);
    private final AtomicLong heldOffUntilMillis = new AtomicLong(NEVER_MILLIS);
    private final AtomicBoolean leavingAnnounced = new AtomicBoolean();
    private final AtomicBoolean superseded = new AtomicBoolean();
    private final AtomicReference<@Nullable ReceivedLoad> reportedLoad = new AtomicReference<>();
    private final Snapshot<Double> failureRate = new Snapshot<>(0.0);
    private final Snapshot<PrefixCacheContents> prefixCache = new Snapshot<>(PrefixCacheContents.UNKNOWN);

    /** Creates the state of an incarnation of which only its entry in the platform's list is known. */
    public InstanceState(UpstreamInstance instance) {
        this.instance = new Snapshot<>(instance);
        this.firstHeartbeatNumber = new AtomicLong(instance.heartbeatNumber());
        this.idHash = RendezvousHash.hash(instance.id());
    }

    /** Returns the latest entry in the platform's list. */
    public UpstreamInstance instance() {
        return instance.get();
    }

    /** Returns the hash of the upstream's id, which ranks the upstream for each router. */
    public long idHash() {
        return idHash;
    }

    /**
     * Replaces the entry by another one of the same incarnation, unless that one was written earlier; returns whether
     * it was replaced. Where no start time tells restarts apart, a number up to the first known one belongs to a
     * restart, whose numbers start anew, and a number between the first and the latest one to a late entry.
     */
    public boolean update(UpstreamInstance entry) {
        boolean lower = entry.heartbeatNumber() < instance.get().heartbeatNumber();
        if (lower && !isRestartPossible(entry)) {
            return false;
        }
        firstHeartbeatNumber.accumulateAndGet(entry.heartbeatNumber(), Math::min);
        instance.replace(entry);
        return true;
    }

    /** Returns whether an entry of the same incarnation was written no later than the latest one. */
    public boolean hasSeen(UpstreamInstance entry) {
        return entry.heartbeatNumber() <= instance.get().heartbeatNumber() && !isRestartPossible(entry);
    }

    private boolean isRestartPossible(UpstreamInstance entry) {
        return entry.startedAtMillis() == 0 && entry.heartbeatNumber() <= firstHeartbeatNumber.get();
    }

    /**
     * Adds a request that is sent to the upstream.
     *
     * @param tokens tokens that the request occupies in the KV cache when it ends: its prompt and its maximum output
     */
    public void requestStarted(long tokens) {
        inFlightCount.incrementAndGet();
        kvCacheTokens.addAndGet(tokens);
        prefillTokens.addAndGet(tokens);
    }

    /**
     * Removes the tokens of a request from the prefill load; called on the first event of the request, or when it ends
     * without one.
     *
     * @param tokens the same number as in {@link #requestStarted}
     */
    public void prefillEnded(long tokens) {
        prefillTokens.addAndGet(-tokens);
    }

    /**
     * Removes a request that has ended.
     *
     * @param tokens the same number as in {@link #requestStarted}
     */
    public void requestEnded(long tokens) {
        inFlightCount.decrementAndGet();
        kvCacheTokens.addAndGet(-tokens);
    }

    /** Adds the tokens of a long prompt to those of long prompts in prefill; negative to remove them. */
    public void addLongPrefillTokens(long tokens) {
        longPrefillTokens.addAndGet(tokens);
    }

    /** Returns whether a long prompt of this router is in prefill on the upstream. */
    public boolean prefillsLongPrompt() {
        return longPrefillTokens.get() > 0;
    }

    /** Adds the tokens of a KV-cache backup that this upstream stores for another one; negative to remove them. */
    public void addBackupTokens(long tokens) {
        kvCacheTokens.addAndGet(tokens);
    }

    /** Returns the number of requests that this router has in flight on the upstream. */
    public int inFlightCount() {
        return inFlightCount.get();
    }

    /** Returns the KV-cache tokens that this router's requests and backups take on the upstream. */
    public long kvCacheTokens() {
        return kvCacheTokens.get();
    }

    /**
     * Returns the tokens of this router's requests that are still in prefill, that is, without an event yet. They
     * include the maximum output of each request.
     */
    public long prefillTokens() {
        return prefillTokens.get();
    }

    /** Returns the load that this router puts on the upstream. */
    public UpstreamLoad ownLoad() {
        return new UpstreamLoad(inFlightCount.get(), prefillTokens.get(), kvCacheTokens.get(), longPrefillTokens.get());
    }

    /** Records the load that the upstream reported with an answer. */
    public void recordReportedLoad(ReportedLoad load, long nowMillis) {
        reportedLoad.set(new ReceivedLoad(load, nowMillis, inFlightCount.get()));
        if (load.pacePercent() > 0) {
            pace.recordReport(load.pacePercent(), nowMillis);
        }
    }

    /** Returns how long work takes on the upstream. */
    public UpstreamPace pace() {
        return pace;
    }

    /** Returns the number of slots by the upstream's last report, else by its entry; 0 if unknown. */
    public int slots() {
        ReceivedLoad last = reportedLoad.get();
        return last == null || last.load.slots() == 0 ? instance.get().slots() : last.load.slots();
    }

    /** Returns the age of the last reported load, or -1 if none was reported. */
    public long reportedLoadAgeMillis(long nowMillis) {
        ReceivedLoad last = reportedLoad.get();
        return last == null ? -1 : last.ageMillis(nowMillis);
    }

    /** Records that the upstream responded in any way. */
    public void recordLastSeen(long nowMillis) {
        lastSeenMillis.accumulateAndGet(nowMillis, Math::max);
    }

    /** Returns when the upstream last responded, or a time in the distant past if it never did. */
    public long lastSeenMillis() {
        return lastSeenMillis.get();
    }

    /**
     * Returns the estimated number of requests on the upstream over all routers: this router's requests, plus the part
     * of a recent report that they do not explain.
     */
    public int estimatedLoad(long nowMillis) {
        ReceivedLoad last = reportedLoad.get();
        return inFlightCount.get() + (last == null ? 0 : last.requestsOfOthers(nowMillis));
    }

    /**
     * Returns the estimated number of requests as {@link #estimatedLoad(long)} does, but of the reported requests only
     * those that have not ended meanwhile. Answers short calls at long intervals: a report that is older than many
     * calls says little about the present.
     *
     * @param residenceMillis time that a request usually stays on the upstream
     */
    public double estimatedLoad(long nowMillis, double residenceMillis) {
        ReceivedLoad last = reportedLoad.get();
        int own = inFlightCount.get();
        if (last == null) {
            return own;
        }
        double remainingPart = Math.exp(-Math.max(0, last.ageMillis(nowMillis)) / residenceMillis);
        return own + last.requestsOfOthers(nowMillis) * remainingPart;
    }

    /** Records which prompt parts the upstream reports in its prefix cache. */
    public void recordPrefixCache(Set<String> keys, long nowMillis) {
        prefixCache.replace(new PrefixCacheContents(keys, nowMillis));
    }

    /** Returns whether a recent report of the prefix cache exists. */
    public boolean isPrefixCacheKnown(long nowMillis) {
        return prefixCache.get().isValid(nowMillis);
    }

    /** Returns the length in tokens of the prompt's cached prefix, 0 if no recent report exists. */
    public long cachedPrefixTokens(List<PromptPart> prompt, long nowMillis) {
        PrefixCacheContents contents = prefixCache.get();
        return contents.isValid(nowMillis) ? contents.cachedPrefixTokens(prompt) : 0;
    }

    /** Records a complete answer, which ends an ejection. */
    public void recordSuccess() {
        consecutiveFailures.set(0);
        ejectedUntilMillis.set(NEVER_MILLIS);
        failureRate.update(before -> before * (1 - FAILURE_RATE_WEIGHT));
    }

    /** Records a failure of the upstream or of the connection to it, and ejects the upstream for a while. */
    public void recordFailure(long nowMillis) {
        int previousFailures = consecutiveFailures.getAndIncrement();
        failureRate.update(before -> before * (1 - FAILURE_RATE_WEIGHT) + FAILURE_RATE_WEIGHT);
        long ejectionMillis =
                Math.min(MAX_EJECTION_MILLIS, BASE_EJECTION_MILLIS << Math.min(previousFailures, MAX_DOUBLINGS));
        ejectedUntilMillis.accumulateAndGet(nowMillis + ejectionMillis, Math::max);
    }

    /** Records an error answer; it raises the failure rate but does not eject the upstream. */
    public void recordError() {
        failureRate.update(before -> before * (1 - FAILURE_RATE_WEIGHT) + FAILURE_RATE_WEIGHT);
    }

    /** Records that the upstream refused a request because it was full. */
    public void recordFull(long nowMillis) {
        fullUntilMillis.accumulateAndGet(nowMillis + FULL_HOLD_MILLIS, Math::max);
    }

    /** Records that the upstream wants no request before the given time; an earlier time has no effect. */
    public void holdOffUntil(long atMillis) {
        heldOffUntilMillis.accumulateAndGet(atMillis, Math::max);
    }

    /** Returns for how long the upstream still wants no request, 0 if it accepts requests. */
    public long remainingHoldOffMillis(long nowMillis) {
        return Math.max(0, heldOffUntilMillis.get() - nowMillis);
    }

    /** Records that this incarnation ends at the given time; it gets no new request from then on. */
    public void markEnded(long atMillis) {
        endedAtMillis.accumulateAndGet(atMillis, Math::min);
    }

    /**
     * Records that the upstream itself has announced with an answer that it leaves. Holds for the incarnation, whatever
     * its entry in the platform's list says; returns whether it was not known before.
     */
    public boolean recordLeaving() {
        return !leavingAnnounced.getAndSet(true) && !instance.get().leaving();
    }

    /** Revokes the recorded end, for example because the entry is listed again. */
    public void clearEnded() {
        endedAtMillis.set(Long.MAX_VALUE);
    }

    /** Records whether another incarnation that is listed has the address; returns whether this has changed. */
    public boolean setSuperseded(boolean byAnother) {
        return superseded.getAndSet(byAnother) != byAnother;
    }

    /**
     * Returns whether the upstream is part of its service: it is not leaving, its incarnation has not ended, and no
     * other one has its address.
     */
    public boolean isInService(long nowMillis) {
        return !instance.get().leaving()
                && !leavingAnnounced.get()
                && !superseded.get()
                && nowMillis < endedAtMillis.get();
    }

    /** Returns whether the upstream may take requests now or after a pause: it is in service and not ejected. */
    public boolean isSound(long nowMillis) {
        return isInService(nowMillis) && !isEjected(nowMillis);
    }

    /** Returns whether a request may be sent: the upstream is in service and has not asked for a pause. */
    public boolean acceptsRequests(long nowMillis) {
        return isInService(nowMillis) && nowMillis >= heldOffUntilMillis.get();
    }

    /** Returns whether the upstream is ejected because of failures. */
    public boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis.get();
    }

    /** Returns the remaining ejection time, 0 if the upstream is not ejected. */
    public long remainingEjectionMillis(long nowMillis) {
        return Math.max(0, ejectedUntilMillis.get() - nowMillis);
    }

    /** Returns whether the upstream refused a request as full within the last {@link #FULL_HOLD_MILLIS}. */
    public boolean isFull(long nowMillis) {
        return nowMillis < fullUntilMillis.get();
    }

    /** Returns the exponentially weighted moving average of failed answers, from 0 to 1. */
    public double failureRate() {
        return failureRate.get();
    }

    private record ReceivedLoad(ReportedLoad load, long receivedAtMillis, int inFlightCountAtReport) {
        long ageMillis(long nowMillis) {
            return nowMillis - receivedAtMillis;
        }

        /** Returns the reported requests that were not this router's; none by a report that is too old. */
        int requestsOfOthers(long nowMillis) {
            return ageMillis(nowMillis) > LOAD_VALID_MILLIS
                    ? 0
                    : Math.max(0, load.running() + load.waiting() - inFlightCountAtReport);
        }
    }
}
