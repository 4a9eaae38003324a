package io.laburnummoor.core.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;

/**
 * This router's share of the retry budget of all routers. Each router limits its retries by its own requests, so the
 * sum over all routers keeps the bound without communication; only the fixed allowance is divided by the number of
 * routers. The gateway's event loops use it concurrently.
 */
public final class WindowedRetryBudget {
    /** Fraction of the bound that is used, which leaves a margin for requests that end between two windows. */
    private static final double USED_SHARE = 0.85;

    private final Bound bound;
    private final IntSupplier routerCount;
    private final Map<String, Window> byService = new ConcurrentHashMap<>();

    public WindowedRetryBudget(Bound bound, IntSupplier routerCount) {
        this.bound = bound;
        this.routerCount = routerCount;
    }

    /** Counts the first attempt of a request. */
    public void recordRequest(String service, long nowMillis) {
        windowOf(service).addRequest(nowMillis, bound.windowMillis());
    }

    /** Takes one retry from the budget; returns false if it is exhausted. */
    public boolean tryRetry(String service, long nowMillis) {
        return windowOf(service).tryRetry(nowMillis, bound, fixedAllowance());
    }

    /** Returns whether the budget has a retry left, without taking it. */
    public boolean hasRetry(String service, long nowMillis) {
        return windowOf(service).hasRetry(nowMillis, bound, fixedAllowance());
    }

    private double fixedAllowance() {
        return USED_SHARE * bound.extraRetries() / Math.max(1, routerCount.getAsInt());
    }

    private Window windowOf(String service) {
        return byService.computeIfAbsent(service, name -> new Window());
    }

    /**
     * Bound over all routers.
     *
     * @param ratio retries for each request
     * @param extraRetries retries that are allowed in addition
     * @param windowMillis length of the sliding window
     */
    public record Bound(double ratio, int extraRetries, long windowMillis) {}

    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> retries = new ArrayDeque<>();

        synchronized void addRequest(long nowMillis, long windowMillis) {
            requests.addLast(nowMillis);
            removeOlder(requests, nowMillis - windowMillis);
        }

        synchronized boolean tryRetry(long nowMillis, Bound bound, double fixedAllowance) {
            if (!hasRetry(nowMillis, bound, fixedAllowance)) {
                return false;
            }
            retries.addLast(nowMillis);
            return true;
        }

        synchronized boolean hasRetry(long nowMillis, Bound bound, double fixedAllowance) {
            removeOlder(requests, nowMillis - bound.windowMillis());
            removeOlder(retries, nowMillis - bound.windowMillis());
            return retries.size() + 1 <= USED_SHARE * bound.ratio() * requests.size() + fixedAllowance;
        }

        private static void removeOlder(Deque<Long> times, long oldestMillis) {
            while (!times.isEmpty() && times.peekFirst() < oldestMillis) {
                times.pollFirst();
            }
        }
    }
}
