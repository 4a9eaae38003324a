package io.laburnummoor.core.process;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Distinguishes the outage of a failure domain from failures of single upstreams, so that requests avoid the domain
 * before each of its upstreams has failed individually. The gateway's event loops record failures and query it
 * concurrently.
 */
public final class DomainOutageDetector {
    /** Two upstreams of one service and domain that fail within this time make the domain suspect. */
    static final long CORRELATION_WINDOW_MILLIS = 500;
    /** Time for which a domain stays suspect after the last failure in it. */
    static final long SUSPECT_MILLIS = 1_500;

    private final Map<String, Failure> lastByServiceAndDomain = new ConcurrentHashMap<>();

    /** Records that an upstream failed or stopped responding. */
    public void record(String service, String failureDomain, String upstreamId, long nowMillis) {
        lastByServiceAndDomain.merge(
                service + "/" + failureDomain,
                new Failure(upstreamId, nowMillis, Long.MIN_VALUE / 2),
                (before, now) -> before.followedBy(now));
    }

    /** Returns whether most upstreams of the service in the domain are presumed lost. */
    public boolean isSuspect(String service, String failureDomain, long nowMillis) {
        Failure last = lastByServiceAndDomain.get(service + "/" + failureDomain);
        return last != null && nowMillis < last.suspectUntilMillis;
    }

    private record Failure(String upstreamId, long atMillis, long suspectUntilMillis) {
        Failure followedBy(Failure later) {
            boolean correlated =
                    !later.upstreamId.equals(upstreamId) && later.atMillis - atMillis <= CORRELATION_WINDOW_MILLIS;
            boolean stillSuspect = later.atMillis < suspectUntilMillis;
            long until = correlated || stillSuspect ? later.atMillis + SUSPECT_MILLIS : suspectUntilMillis;
            return new Failure(later.upstreamId, later.atMillis, until);
        }
    }
}
