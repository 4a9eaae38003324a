package io.laburnummoor.core.process;

import java.util.List;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.version.ForwardService;

/**
 * Load of all upstreams of one service at one moment, as far as known.
 *
 * @param usableCount upstreams that accept requests and are not ejected
 * @param pausedCount upstreams that are sound but have asked for a pause
 * @param runningCount requests on the usable upstreams
 * @param freeSlots slots of the usable upstreams that no request takes; upstreams with unknown slots do not count
 * @param roomTokens greatest number of tokens for which a usable upstream has room, {@link Long#MAX_VALUE} if one has
 *     room for any; -1 if none has room
 * @param reportAgeMillis age of the oldest of the upstreams' latest reports, or -1 if none has reported
 * @param nextOpeningMillis time until a pause, or the avoidance of an upstream that refused a request, has ended for
 *     sure; {@link Long#MAX_VALUE} if there is none
 */
public record ServiceLoad(
        int usableCount,
        int pausedCount,
        int runningCount,
        int freeSlots,
        long roomTokens,
        long reportAgeMillis,
        long nextOpeningMillis) {
    /** Adds up the load of the upstreams of a service. */
    public static ServiceLoad of(
            List<InstanceState> upstreams, ForwardService service, CapacityLedger ledger, long nowMillis) {
        int usable = 0;
        int paused = 0;
        int running = 0;
        int free = 0;
        long room = -1;
        long age = -1;
        long opening = Long.MAX_VALUE;
        for (InstanceState each : upstreams) {
            if (!each.isSound(nowMillis)) {
                continue;
            }
            long holdOff = each.remainingHoldOffMillis(nowMillis);
            if (holdOff > 0) {
                paused++;
                opening = Math.min(opening, holdOff);
                continue;
            }
            int load = each.estimatedLoad(nowMillis);
            usable++;
            running += load;
            free += Math.max(0, each.instance().slots() - load);
            age = Math.max(age, each.reportedLoadAgeMillis(nowMillis));
            if (each.isFull(nowMillis)) {
                opening = Math.min(opening, InstanceState.FULL_HOLD_MILLIS);
                continue;
            }
            UpstreamCapacity capacity = ledger.of(each, service, nowMillis);
            room = capacity.freeSlots() > 0 ? Math.max(room, capacity.freeKvCacheTokens()) : room;
        }
        return new ServiceLoad(usable, paused, running, free, room, age, opening);
    }

    /** Returns whether a place may become free: an upstream is sound, even if it has no room or wants a pause now. */
    public static boolean mayOpen(List<InstanceState> upstreams, long nowMillis) {
        for (InstanceState each : upstreams) {
            if (each.isSound(nowMillis)) {
                return true;
            }
        }
        return false;
    }
}
