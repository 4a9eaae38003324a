package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.connection.RouterDemand;
import org.jspecify.annotations.Nullable;

/**
 * The demand that routers announce to each other by gossip, and this router's share of each limit. The router exchange
 * starts the rounds and merges announcements; {@link SharedLimits} reads the shares on any thread.
 *
 * <p>A share is this router's fraction of the announced demand, at least 1 / routers. A decrease takes effect at once,
 * an increase only up to the minimum of the last rounds: within those rounds every router has received an increase
 * elsewhere, so two routers do not use the same part of a limit.
 */
public final class DemandTable {
    /** Time after which an announcement that was not renewed is dropped. */
    static final long EXPIRY_MILLIS = 30_000;
    /** An unchanged announcement is renewed after this time. */
    static final long RENEWAL_MILLIS = 10_000;
    /** Relative change up to which a new demand is not announced before the renewal, to save traffic. */
    private static final double ANNOUNCED_CHANGE = 0.25;

    private final String ownName;
    private final ConcurrentHashMap<String, Announcement> announcementsByRouter = new ConcurrentHashMap<>();
    private final Snapshot<Map<Long, Double>> shares = new Snapshot<>(Map.of());
    private final Map<Long, double[]> recentShares = new HashMap<>();
    private volatile int routerCount = 1;
    private volatile long contactDeadlineMillis = Long.MIN_VALUE;
    private int round;

    /** Creates the table of the router with the given name. */
    public DemandTable(String self) {
        this.ownName = self;
    }

    /** Returns the key of an organisation. */
    public static long organisationKey(String organisation) {
        return shortHash("organisation/" + organisation);
    }

    /** Returns the key of a service. */
    public static long serviceKey(String service) {
        return shortHash("service/" + service);
    }

    /**
     * Returns a 32-bit hash, which takes half the bytes of a 64-bit one; 1,000 announced keys collide with a
     * probability of 1 in 8,600.
     */
    private static long shortHash(String text) {
        return RendezvousHash.hash(text) & 0xffff_ffffL;
    }

    /**
     * Starts a gossip round: announces this router's demand if it changed enough, and computes the shares. Called by
     * one thread.
     *
     * @param own number of this router's running and waiting requests by key of the organisation or service
     * @param routers number of routers, this one included
     * @param sequence number of the announcement; the wall-clock time is suitable, because it increases across restarts
     */
    public void startRound(Map<Long, Integer> own, int routers, long sequence, long nowMillis) {
        routerCount = Math.max(1, routers);
        Announcement before = announcementsByRouter.get(ownName);
        Map<Long, Integer> announcedBefore = before == null ? Map.of() : before.demand.demandByKey();
        boolean idle = own.isEmpty() && announcedBefore.isEmpty();
        if (before == null
                || (!idle && nowMillis - before.receivedAtMillis >= RENEWAL_MILLIS)
                || hasChanged(announcedBefore, own)) {
            RouterDemand demand = new RouterDemand(ownName, sequence, Map.copyOf(own));
            announcementsByRouter.put(
                    ownName,
                    new Announcement(demand, nowMillis, before == null && own.isEmpty() ? 0 : sendsPerAnnouncement()));
        }
        announcementsByRouter
                .values()
                .removeIf(each ->
                        !each.demand.router().equals(ownName) && nowMillis - each.receivedAtMillis >= EXPIRY_MILLIS);
        computeShares(nowMillis >= contactDeadlineMillis);
    }

    /**
     * Returns announcements to send to one peer, those with the most sends left first; each is sent a limited number of
     * times.
     */
    public List<RouterDemand> takeAnnouncements(int maxCount) {
        List<Announcement> freshest = announcementsByRouter.values().stream()
                .filter(each -> each.sendsLeft > 0)
                .sorted(Comparator.comparingInt(Announcement::sendsLeft).reversed())
                .limit(maxCount)
                .toList();
        List<RouterDemand> announcements = new ArrayList<>();
        for (Announcement each : freshest) {
            if (announcementsByRouter.replace(each.demand.router(), each, each.afterSend())) {
                announcements.add(each.demand);
            }
        }
        return announcements;
    }

    /** Stores announcements of other routers that are newer than the known ones. */
    public void merge(List<RouterDemand> received, long nowMillis) {
        contactDeadlineMillis = nowMillis + EXPIRY_MILLIS;
        for (RouterDemand each : received) {
            if (!each.router().equals(ownName)) {
                announcementsByRouter.compute(
                        each.router(),
                        (router, known) -> known != null && known.demand.sequence() >= each.sequence()
                                ? known
                                : new Announcement(each, nowMillis, sendsPerAnnouncement()));
            }
        }
    }

    /** Returns this router's share of the limit with the given key, from 1 / routers to 1. */
    public double share(long key) {
        return shares.get().getOrDefault(key, 1.0 / routerCount);
    }

    /** Returns the number of routers whose announcement is known. */
    public int knownRouterCount() {
        return announcementsByRouter.size();
    }

    /** Returns how often each router sends an announcement, so that it reaches all routers with high probability. */
    private int sendsPerAnnouncement() {
        return 2 + log2(routerCount);
    }

    /** Returns the number of rounds in which an announcement reaches all routers. */
    private int propagationRounds() {
        return routerCount == 1 ? 1 : 3 + log2(routerCount);
    }

    /**
     * Computes the shares. A router without contact to the others uses the minimum share, because they may use the
     * rest.
     */
    private void computeShares(boolean partitioned) {
        Announcement own = announcementsByRouter.get(ownName);
        if (own == null) {
            return;
        }
        double minShare = 1.0 / routerCount;
        int window = propagationRounds();
        round++;
        Map<Long, Double> next = new HashMap<>();
        Map<Long, Long> totals = totals(own.demand.demandByKey());
        recentShares.keySet().retainAll(totals.keySet());
        totals.forEach((key, total) -> {
            double demandShare = (double) own.demand.demandByKey().getOrDefault(key, 0) / Math.max(1, total);
            double[] recent = recentShares.compute(key, (k, known) -> resizedWindow(known, window, minShare));
            double current = partitioned ? minShare : demandShare;
            recent[round % window] = current;
            double smallest = current;
            for (double each : recent) {
                smallest = Math.min(smallest, each);
            }
            next.put(key, Math.max(minShare, smallest));
        });
        shares.replace(Map.copyOf(next));
    }

    private Map<Long, Long> totals(Map<Long, Integer> own) {
        Map<Long, Long> totals = new HashMap<>();
        own.forEach((key, count) -> totals.put(key, 0L));
        for (Announcement each : announcementsByRouter.values()) {
            each.demand.demandByKey().forEach((key, count) -> totals.computeIfPresent(key, (k, sum) -> sum + count));
        }
        return totals;
    }

    private static double[] resizedWindow(double @Nullable [] known, int window, double minShare) {
        if (known != null && known.length == window) {
            return known;
        }
        double[] created = new double[window];
        Arrays.fill(created, minShare);
        return created;
    }

    private static boolean hasChanged(Map<Long, Integer> before, Map<Long, Integer> now) {
        if (!before.keySet().equals(now.keySet())) {
            return true;
        }
        return now.entrySet().stream().anyMatch(each -> {
            int old = before.getOrDefault(each.getKey(), 0);
            return Math.abs(each.getValue() - old) > Math.max(1, ANNOUNCED_CHANGE * old);
        });
    }

    private static int log2(int value) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, value - 1));
    }

    private record Announcement(RouterDemand demand, long receivedAtMillis, int sendsLeft) {
        Announcement afterSend() {
            return new Announcement(demand, receivedAtMillis, sendsLeft - 1);
        }
    }
}
