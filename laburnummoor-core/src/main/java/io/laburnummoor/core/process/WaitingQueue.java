package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.laburnummoor.core.request.Urgency;
import io.laburnummoor.core.request.WaitingRequest;
import org.jspecify.annotations.Nullable;

/**
 * Requests that wait for a place on an upstream of their service. A place goes to the most urgent request that fits; at
 * equal urgency fairly to the organisations and to the callers of one organisation, by the share of the capacity that
 * the requests take; and among the requests of one caller to the one with the least time left to its goal. Every eighth
 * place of a service goes to the request that has waited longest, so that less urgent ones do not starve.
 *
 * <p>Deterministic and without a clock. Not thread-safe.
 */
public final class WaitingQueue {
    /** One place in this many goes to the request that has waited longest. */
    static final int OLDEST_GRANT_INTERVAL = 8;
    /** Unit in which shares of capacity are compared; the smallest one, so that requests without tokens alternate. */
    private static final long QUANTUM = 1;

    private static final Comparator<Entry> BY_AGE = Comparator.<Entry>comparingLong(each -> each.request.sinceMillis())
            .thenComparingLong(each -> each.sequence);
    private static final Comparator<Entry> BY_GOAL = Comparator.<Entry>comparingLong(
                    each -> each.request.goalAtMillis())
            .thenComparingLong(each -> each.sequence);

    private static final Comparator<Entry> BY_SIZE =
            Comparator.<Entry>comparingLong(each -> each.request.tokens()).thenComparingLong(each -> each.sequence);

    private final int maxCount;
    private final long maxBytes;
    private final Map<WaitingRequest, Entry> entries = new IdentityHashMap<>();
    private final Map<String, ServiceQueue> services = new HashMap<>();
    private final List<SortedQueue<Entry>> byUrgency = new ArrayList<>();
    private long bytes;
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param maxCount maximum number of waiting requests
     * @param maxBytes maximum memory of all waiting requests
     */
    public WaitingQueue(int maxCount, long maxBytes) {
        this.maxCount = maxCount;
        this.maxBytes = maxBytes;
        for (int level = 0; level <= Urgency.MAX_LEVEL; level++) {
            byUrgency.add(new SortedQueue<>(BY_AGE));
        }
    }

    /**
     * Adds a request. If the queue is full, it takes the place of the newest of the least urgent requests.
     *
     * @return the request that does not wait, or no longer: null if all do, the given one if no less urgent one makes
     *     room for it
     */
    public @Nullable WaitingRequest add(WaitingRequest request) {
        WaitingRequest displaced = null;
        if (entries.size() >= maxCount || bytes + request.bytes() > maxBytes) {
            displaced = lastOfLessUrgent(request.urgency());
            if (displaced == null || bytes + request.bytes() - displaced.bytes() > maxBytes) {
                return request;
            }
            remove(displaced);
        }
        Entry entry = new Entry(request, nextSequence++);
        entries.put(request, entry);
        bytes += request.bytes();
        byUrgency.get(request.urgency().level()).add(entry);
        services.computeIfAbsent(request.service(), added -> new ServiceQueue()).add(entry);
        return displaced;
    }

    private @Nullable WaitingRequest lastOfLessUrgent(Urgency urgency) {
        for (int level = Urgency.MAX_LEVEL; level > urgency.level(); level--) {
            Entry last = byUrgency.get(level).last();
            if (last != null) {
                return last.request;
            }
        }
        return null;
    }

    /** Removes a request that no longer waits; returns whether it did. */
    public boolean remove(WaitingRequest request) {
        Entry entry = entries.get(request);
        ServiceQueue service = services.get(request.service());
        if (entry == null || service == null) {
            return false;
        }
        service.remove(entry);
        forget(entry, service);
        return true;
    }

    /**
     * Removes and returns the request of a service that gets the next place, or null if none fits.
     *
     * @param roomTokens greatest number of tokens for which an upstream has room, negative if none has room
     */
    public @Nullable WaitingRequest grant(String serviceName, long roomTokens) {
        ServiceQueue service = services.get(serviceName);
        Entry next = service == null ? null : service.next(roomTokens);
        if (service == null || next == null) {
            return null;
        }
        service.take(next);
        forget(next, service);
        return next.request;
    }

    private void forget(Entry entry, ServiceQueue service) {
        entries.remove(entry.request);
        bytes -= entry.request.bytes();
        byUrgency.get(entry.request.urgency().level()).remove(entry);
        if (service.byAge.size() == 0) {
            services.remove(entry.request.service());
        }
    }

    /** Removes and returns all requests. */
    public List<WaitingRequest> removeAll() {
        List<WaitingRequest> removed = new ArrayList<>(entries.keySet());
        removed.forEach(this::remove);
        return removed;
    }

    /** Returns about how many waiting requests are served before a further one that does not wait yet. */
    public int countAhead(WaitingRequest request) {
        ServiceQueue service = services.get(request.service());
        return service == null ? 0 : service.countAhead(request);
    }

    /** Returns the request of a service that has waited longest, or null if none waits. */
    public @Nullable WaitingRequest oldestOf(String service) {
        ServiceQueue queue = services.get(service);
        Entry oldest = queue == null ? null : queue.byAge.first(each -> true);
        return oldest == null ? null : oldest.request;
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return entries.size();
    }

    /** Returns the number of waiting requests of a service. */
    public int sizeOf(String service) {
        ServiceQueue queue = services.get(service);
        return queue == null ? 0 : queue.byAge.size();
    }

    /** Returns the number of waiting requests of an urgency. */
    public int sizeOf(Urgency urgency) {
        return byUrgency.get(urgency.level()).size();
    }

    /** Returns the names of the services for which requests wait. */
    public List<String> services() {
        return List.copyOf(services.keySet());
    }

    private record Entry(WaitingRequest request, long sequence) {}

    /** Waiting requests of one service. */
    private static final class ServiceQueue {
        private final SortedQueue<Entry> byAge = new SortedQueue<>(BY_AGE);
        /** Tells at once that nothing fits, which is most often so. */
        private final SortedQueue<Entry> bySize = new SortedQueue<>(BY_SIZE);

        private final List<DeficitRoundRobin<Entry, DeficitRoundRobin<Entry, SortedQueue<Entry>>>> byUrgency =
                new ArrayList<>();
        private int grantsSinceOldest;

        ServiceQueue() {
            for (int level = 0; level <= Urgency.MAX_LEVEL; level++) {
                byUrgency.add(new DeficitRoundRobin<>(
                        QUANTUM,
                        each -> each.request.cost(),
                        each -> each.request.organisation(),
                        () -> new DeficitRoundRobin<>(
                                QUANTUM,
                                each -> each.request.cost(),
                                each -> each.request.caller(),
                                () -> new SortedQueue<>(BY_GOAL))));
            }
        }

        void add(Entry entry) {
            byAge.add(entry);
            bySize.add(entry);
            byUrgency.get(entry.request.urgency().level()).add(entry);
        }

        void remove(Entry entry) {
            byAge.remove(entry);
            bySize.remove(entry);
            byUrgency.get(entry.request.urgency().level()).remove(entry);
        }

        @Nullable
        Entry next(long roomTokens) {
            Entry smallest = bySize.first(each -> true);
            if (smallest == null || smallest.request.tokens() > roomTokens) {
                return null;
            }
            Predicate<Entry> fits = each -> each.request.tokens() <= roomTokens;
            Entry oldest = isOldestTurn() ? byAge.first(fits) : null;
            if (oldest != null) {
                return oldest;
            }
            for (DeficitRoundRobin<Entry, ?> each : byUrgency) {
                Entry next = each.size() == 0 ? null : each.first(fits);
                if (next != null) {
                    return next;
                }
            }
            return null;
        }

        private boolean isOldestTurn() {
            return grantsSinceOldest == OLDEST_GRANT_INTERVAL - 1;
        }

        void take(Entry entry) {
            grantsSinceOldest = isOldestTurn() ? 0 : grantsSinceOldest + 1;
            byAge.remove(entry);
            bySize.remove(entry);
            byUrgency.get(entry.request.urgency().level()).take(entry);
        }

        /**
         * Each other organisation is served about as often as the own one before the request's turn, and so is each
         * other caller of the organisation.
         */
        int countAhead(WaitingRequest request) {
            int level = request.urgency().level();
            int count = 0;
            for (int each = 0; each < level; each++) {
                count += byUrgency.get(each).size();
            }
            var organisations = byUrgency.get(level);
            var callers = organisations.queueOf(request.organisation());
            int aheadInOrganisation = callers == null ? 0 : countAhead(callers, request.caller());
            return count + countAhead(organisations, request.organisation(), aheadInOrganisation);
        }

        private static int countAhead(DeficitRoundRobin<Entry, ?> callers, String caller) {
            return countAhead(callers, caller, callers.sizeOf(caller));
        }

        private static int countAhead(DeficitRoundRobin<Entry, ?> queue, String key, int aheadInKey) {
            long keyCount = queue.keyCount() + (queue.queueOf(key) == null ? 1L : 0);
            return (int) Math.min(queue.size(), (aheadInKey + 1) * keyCount - 1);
        }
    }
}
