package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

/**
 * Decides when a request with blocked prompt parts may run as a trial, so that parts which no longer crash upstreams
 * come back into service. A trial may cost an upstream, so there are few, at growing intervals, and one router at a
 * time runs them.
 */
public final class PromptPartTrials {
    /** A part that crashed upstreams in this many trials stays blocked until it has not been seen for long. */
    static final int MAX_TRIALS = 3;
    /** Interval between the last crash and the first trial; each further one is four times as long. */
    static final long FIRST_INTERVAL_MILLIS = 60_000;

    static final int INTERVAL_FACTOR = 4;
    /** Time for which one router may run the trial of a part; another one may receive the requests. */
    static final long TURN_MILLIS = 20_000;
    /** Wall clocks of routers differ; near the end of a turn two of them would run the trial. */
    static final long TURN_MARGIN_MILLIS = 4_000;

    private final String router;
    private final Supplier<? extends Collection<String>> otherRouters;

    /** Creates the schedule of a router that knows the names of the others. */
    public PromptPartTrials(String router, Supplier<? extends Collection<String>> otherRouters) {
        this.router = router;
        this.otherRouters = otherRouters;
    }

    /** Returns the wall-clock time from which a trial may run, or {@link Long#MAX_VALUE} if none may run any more. */
    static long dueMillis(BlockedPromptParts.Entry blocked) {
        int trials = SuspectPromptPart.countGroups(blocked.crashes(), FIRST_INTERVAL_MILLIS / 2) - 1;
        if (trials >= MAX_TRIALS) {
            return Long.MAX_VALUE;
        }
        long intervalMillis = FIRST_INTERVAL_MILLIS;
        for (int i = 0; i < trials; i++) {
            intervalMillis *= INTERVAL_FACTOR;
        }
        return blocked.lastCrashMillis() + intervalMillis;
    }

    /** Returns whether this router may run a trial now. */
    boolean mayRun(BlockedPromptParts.Entry blocked, long wallMillis) {
        long inTurnMillis = Math.floorMod(wallMillis, TURN_MILLIS);
        return wallMillis >= dueMillis(blocked)
                && inTurnMillis >= TURN_MARGIN_MILLIS
                && inTurnMillis < TURN_MILLIS - TURN_MARGIN_MILLIS
                && router.equals(ownerOfTurn(blocked, Math.floorDiv(wallMillis, TURN_MILLIS)));
    }

    private String ownerOfTurn(BlockedPromptParts.Entry blocked, long turn) {
        List<String> routers = new ArrayList<>(otherRouters.get());
        routers.add(router);
        String part = blocked.keys().stream().min(Comparator.naturalOrder()).orElse("");
        return RendezvousHash.top(part + "/" + turn, routers, 1).get(0);
    }
}
