package io.laburnummoor.core.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.version.Comparison;
import io.laburnummoor.core.version.EvaluationBounds;
import io.laburnummoor.core.version.RolloutDeclaration;
import io.laburnummoor.core.version.RolloutRules;
import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.core.version.Stratum;
import io.laburnummoor.core.version.VersionEvaluation;
import org.jspecify.annotations.Nullable;

/**
 * Advances the rollouts that are declared in the configuration while this router holds the lease; the rollout follower
 * calls {@link #tick} once a period on one thread.
 *
 * <p>Each change is one compare-and-swap against the state that the decision was based on. A lost reply needs no
 * special handling: the next tick reads the state and decides again. While the store is unavailable, no change is made,
 * but evidence is still evaluated and a bad version is stopped by the rollout halts of the routers.
 */
public final class RolloutController {
    private static final String KEY_PREFIX = "rollouts/state/";
    /** Routers without the lease read it at every fifth tick: 400 routers cause 80 reads/s. */
    private static final int ACQUIRE_INTERVAL_TICKS = 5;

    private final KeyValueStore store;
    private final RolloutStateCodec codec;
    private final RolloutEvidence evidence;
    private final RolloutRules rules;
    private final Function<EvaluationBounds, VersionEvaluation> evaluations;
    private final Clock wallClock;
    private final ControllerLease lease;
    private final Map<String, TrackedRollout> trackedByName = new HashMap<>();
    private long tickCount;
    private volatile boolean controlling;

    /**
     * Creates the controller of a router.
     *
     * @param evaluations creates the evaluation of a rollout
     * @param wallClock clock for the deadlines
     */
    public RolloutController(
            KeyValueStore store,
            RolloutStateCodec codec,
            RolloutEvidence evidence,
            RolloutRules rules,
            Function<EvaluationBounds, VersionEvaluation> evaluations,
            String routerName,
            Clock wallClock) {
        this.store = store;
        this.codec = codec;
        this.evidence = evidence;
        this.rules = rules;
        this.evaluations = evaluations;
        this.wallClock = wallClock;
        this.lease = new ControllerLease(store, routerName);
    }

    /** Returns the key of a rollout's state. */
    public static String key(String rollout) {
        return KEY_PREFIX + rollout;
    }

    /** Returns whether this router was the controller at the last tick. */
    public boolean isControlling() {
        return controlling;
    }

    /** Returns the last known name of the controller, empty if none is known. */
    public String controllerName() {
        return lease.holderName();
    }

    /** Returns the fencing token for orders of this controller. */
    public long fencingToken() {
        return lease.fencingToken();
    }

    /**
     * Evaluates the evidence of one period and makes the changes that are due.
     *
     * @throws LaburnummoorException with code {@code store_unavailable} if the store is unavailable
     */
    public void tick(List<RolloutDeclaration> declared) {
        for (RolloutDeclaration each : declared) {
            evaluate(each);
        }
        if (!controlling && tickCount++ % ACQUIRE_INTERVAL_TICKS != 0) {
            return;
        }
        controlling = lease.renewOrAcquire();
        if (!controlling) {
            // Another router collects the evidence now; evidence of two terms as controller must not be mixed.
            trackedByName.clear();
            return;
        }
        for (RolloutDeclaration each : declared) {
            trackedByName.computeIfAbsent(
                    each.name(), added -> new TrackedRollout(evaluations.apply(EvaluationBounds.of(each))));
            advance(each);
        }
        trackedByName
                .keySet()
                .retainAll(declared.stream().map(RolloutDeclaration::name).toList());
    }

    private void evaluate(RolloutDeclaration declaration) {
        Map<Stratum, Comparison> period = evidence.drain(declaration.name());
        TrackedRollout tracked = trackedByName.get(declaration.name());
        if (tracked == null) {
            return;
        }
        tracked.evaluation.add(period);
        VersionEvaluation.Verdict verdict = tracked.evaluation.verdict();
        if (verdict.bad() && evidence.haltReason(declaration.name()) == null) {
            evidence.haltOnRouters(declaration.name(), verdict.evidence());
        }
    }

    private void advance(RolloutDeclaration declaration) {
        VersionedValue stored = store.get(key(declaration.name()));
        long nowMillis = wallClock.nowMillis();
        if (stored == null) {
            RolloutState first = RolloutState.start(declaration, nowMillis);
            store.compareAndSwap(key(declaration.name()), KeyValueStore.ABSENT, codec.encode(first));
            return;
        }
        RolloutState state = codec.decode(stored.value());
        TrackedRollout tracked = trackedByName.get(declaration.name());
        if (tracked == null) {
            return;
        }
        RolloutState next = decide(state, tracked, nowMillis);
        if (next != null) {
            store.compareAndSwap(key(declaration.name()), stored.version(), codec.encode(next));
        }
    }

    private @Nullable RolloutState decide(RolloutState state, TrackedRollout tracked, long nowMillis) {
        VersionEvaluation.Verdict verdict = tracked.evaluation.verdict();
        if (tracked.step != state.step()) {
            tracked.step = state.step();
            tracked.comparedBeforeStep = verdict.comparedRequests();
        }
        long comparedInStep = verdict.comparedRequests() - tracked.comparedBeforeStep;
        return rules.next(state, verdict, comparedInStep, evidence.haltReason(state.name()), nowMillis);
    }

    /** Evidence of one rollout since this router became the controller. */
    private static final class TrackedRollout {
        private final VersionEvaluation evaluation;
        private int step = -1;
        private long comparedBeforeStep;

        TrackedRollout(VersionEvaluation evaluation) {
            this.evaluation = evaluation;
        }
    }
}
