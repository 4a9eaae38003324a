package io.laburnummoor.core.process;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers when refused requests were first received, so that a caller that comes back as instructed keeps its age.
 * Bounded; the oldest entries are dropped first. Not thread-safe.
 */
public final class ReturningRequests {
    private final int maxCount;
    private final Map<String, Refused> byFingerprint = new LinkedHashMap<>();

    /** Creates an empty memory. */
    public ReturningRequests(int maxCount) {
        this.maxCount = maxCount;
    }

    /**
     * Remembers a refused request.
     *
     * @param fingerprint digest that is the same when the caller sends the request again
     * @param sinceMillis when the caller first sent it
     * @param expiresAtMillis time until which the caller may come back
     */
    public void remember(String fingerprint, long sinceMillis, long expiresAtMillis, long nowMillis) {
        byFingerprint.remove(fingerprint);
        byFingerprint.put(fingerprint, new Refused(sinceMillis, expiresAtMillis));
        Iterator<Refused> oldestFirst = byFingerprint.values().iterator();
        while (byFingerprint.size() > maxCount || isNextExpired(nowMillis)) {
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    private boolean isNextExpired(long nowMillis) {
        Iterator<Refused> oldestFirst = byFingerprint.values().iterator();
        return oldestFirst.hasNext() && oldestFirst.next().expiresAtMillis <= nowMillis;
    }

    /** Forgets a request and returns when its caller first sent it; the given time if it is not remembered. */
    public long recall(String fingerprint, long arrivedAtMillis, long nowMillis) {
        Refused refused = byFingerprint.remove(fingerprint);
        return refused == null || refused.expiresAtMillis <= nowMillis ? arrivedAtMillis : refused.sinceMillis;
    }

    /** Returns the number of remembered requests. */
    public int size() {
        return byFingerprint.size();
    }

    private record Refused(long sinceMillis, long expiresAtMillis) {}
}
