package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.request.VersionSelector;
import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.core.version.TrafficShare;
import org.jspecify.annotations.Nullable;

/**
 * The states of rollouts as this router knows them, and the choice of a version for a new request.
 *
 * <p>A state is only replaced by a later one. A brake, once applied, keeps the share at zero whatever state arrives.
 */
public final class TrafficShares implements VersionSelector {
    /**
     * Age of the last attempt to read the states from which the new version gets nothing. Reads are attempted every 2 s
     * also during an outage, so a greater age means that this process was paused and may have missed a rollback.
     */
    static final long MAX_POLL_AGE_MILLIS = 6_000;

    /** Share from which the new version may stand in for an old version that has no upstream left. */
    private static final int FALLBACK_MIN_SHARE_PER_MILLE = 400;

    private final Clock clock;
    private final Snapshot<Map<String, RolloutState>> states = new Snapshot<>(Map.of());
    private final ConcurrentHashMap<String, String> haltReasons = new ConcurrentHashMap<>();
    private final AtomicLong lastPollMillis = new AtomicLong();

    /** Creates shares without any rollout. */
    public TrafficShares(Clock monotonicClock) {
        this.clock = monotonicClock;
        recordPoll();
    }

    /** Records that the states are being kept up to date, or that it was tried during an outage. */
    public void recordPoll() {
        lastPollMillis.set(clock.nowMillis());
    }

    /** Takes a state unless a later one is known. */
    public void accept(RolloutState state) {
        states.update(known -> {
            RolloutState before = known.get(state.name());
            if (before != null && before.change() >= state.change()) {
                return known;
            }
            Map<String, RolloutState> next = new HashMap<>(known);
            next.put(state.name(), state);
            return Map.copyOf(next);
        });
    }

    /** Applies the brake of a rollout; the first reason is kept. Returns whether it was not applied before. */
    public boolean halt(String rollout, String reason) {
        return haltReasons.putIfAbsent(rollout, reason) == null;
    }

    /** Returns why the brake of a rollout is applied, or null. */
    public @Nullable String haltReason(String rollout) {
        return haltReasons.get(rollout);
    }

    /** Returns the known state of a rollout, or null. */
    public @Nullable RolloutState state(String rollout) {
        return states.get().get(rollout);
    }

    /** Returns the rollout of a service that decides on its version, or null: a running one, else the last to start. */
    public @Nullable RolloutState rolloutOfService(String service) {
        RolloutState best = null;
        for (RolloutState each : states.get().values()) {
            if (each.service().equals(service) && (best == null || isPreferred(each, best))) {
                best = each;
            }
        }
        return best;
    }

    /** Returns the share of the new version on this router, in thousandths. */
    public int sharePerMille(RolloutState state) {
        boolean halted = haltReasons.containsKey(state.name())
                || (state.phase() == RolloutState.Phase.RUNNING
                        && clock.nowMillis() - lastPollMillis.get() > MAX_POLL_AGE_MILLIS);
        return halted ? 0 : state.sharePerMille();
    }

    @Override
    public List<String> versionsFor(String service, String activeVersion, RequestId request) {
        RolloutState state = rolloutOfService(service);
        if (state == null || !isRelevant(state, activeVersion)) {
            return List.of(activeVersion);
        }
        int share = sharePerMille(state);
        List<String> versions = new ArrayList<>(2);
        versions.add(state.fromVersion());
        if (TrafficShare.includes(state.name(), request, share)) {
            versions.add(0, state.toVersion());
        } else if (share >= FALLBACK_MIN_SHARE_PER_MILLE) {
            versions.add(state.toVersion());
        }
        return versions;
    }

    /** An ended rollout no longer matters once operators have declared another version than its first one. */
    private static boolean isRelevant(RolloutState state, String activeVersion) {
        return state.phase() == RolloutState.Phase.RUNNING
                || activeVersion.isEmpty()
                || activeVersion.equals(state.fromVersion());
    }

    private static boolean isPreferred(RolloutState candidate, RolloutState best) {
        boolean candidateRuns = candidate.phase() == RolloutState.Phase.RUNNING;
        boolean bestRuns = best.phase() == RolloutState.Phase.RUNNING;
        return candidateRuns == bestRuns ? candidate.startedAtMillis() > best.startedAtMillis() : candidateRuns;
    }
}
