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
import io.laburnummoor.core.version.VersionAssignment;
import org.jspecify.annotations.Nullable;

/**
 * The rollout states known to this router, and the selection of a version for a new request.
 *
 * <p>A state is only replaced by a later one. Once a rollout is halted, its traffic share stays zero whatever state
 * arrives. The rollout follower and threads that serve peers record states and halts; requests read them on any
 * thread.
 */
public final class TrafficShares implements VersionSelector {
    /**
     * Maximum time since the last attempt to read the states; after it, the new version gets no traffic. Reads are
     * attempted every 2 s even while the store is unavailable, so a longer time means that this process was paused and
     * may have missed a rollback.
     */
    static final long MAX_POLL_AGE_MILLIS = 6_000;

    /** Minimum traffic share at which the new version may replace an old version that has no upstream left. */
    private static final int FALLBACK_MIN_SHARE_PER_MILLE = 400;

    private final Clock clock;
    private final Snapshot<Map<String, RolloutState>> states = new Snapshot<>(Map.of());
    private final ConcurrentHashMap<String, String> haltReasons = new ConcurrentHashMap<>();
    private final AtomicLong lastPollMillis = new AtomicLong();

    /** Creates an instance without any rollout. */
    public TrafficShares(Clock monotonicClock) {
        this.clock = monotonicClock;
        recordPoll();
    }

    /** Records an attempt to read the states, whether or not the store was available. */
    public void recordPoll() {
        lastPollMillis.set(clock.nowMillis());
    }

    /** Accepts a state unless a later one is known. */
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

    /** Halts a rollout; the first reason is kept. Returns whether it was not halted before. */
    public boolean halt(String rollout, String reason) {
        return haltReasons.putIfAbsent(rollout, reason) == null;
    }

    /** Returns why a rollout is halted, or null if it is not. */
    public @Nullable String haltReason(String rollout) {
        return haltReasons.get(rollout);
    }

    /** Returns the known state of a rollout, or null. */
    public @Nullable RolloutState state(String rollout) {
        return states.get().get(rollout);
    }

    /** Returns the rollout that determines a service's version, or null: a running one, else the last one started. */
    public @Nullable RolloutState rolloutOfService(String service) {
        RolloutState best = null;
        for (RolloutState each : states.get().values()) {
            if (each.service().equals(service) && (best == null || isPreferred(each, best))) {
                best = each;
            }
        }
        return best;
    }

    /** Returns the traffic share of the new version on this router, in thousandths. */
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
        if (VersionAssignment.assignsNewVersion(state.name(), request, share)) {
            versions.add(0, state.toVersion());
        } else if (share >= FALLBACK_MIN_SHARE_PER_MILLE) {
            versions.add(state.toVersion());
        }
        return versions;
    }

    /** An ended rollout is irrelevant once operators have declared an active version other than its old version. */
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
