package io.laburnummoor.bench.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.process.RolloutController;
import io.laburnummoor.core.process.RolloutEvidence;
import io.laburnummoor.core.process.RolloutStateCodec;
import io.laburnummoor.core.process.TrafficShares;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.version.Comparison;
import io.laburnummoor.core.version.EvaluationBounds;
import io.laburnummoor.core.version.EvidenceRecorder;
import io.laburnummoor.core.version.RolloutDeclaration;
import io.laburnummoor.core.version.RolloutHalt;
import io.laburnummoor.core.version.RolloutRules;
import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.core.version.Stratum;
import io.laburnummoor.core.version.VersionEvaluation;
import org.jspecify.annotations.Nullable;

/**
 * One rollout at simulated time: a few routers with the real decision code, a key-value service in memory, and
 * synthetic outcomes of attempts instead of engines.
 */
final class RolloutSimulation {
    static final long DURATION_MILLIS = 900_000;
    private static final long START_MILLIS = 1_000_000;
    private static final long MIN_DWELL_MILLIS = 30_000;
    /** Time that is simulated after the outcome, to see that nothing changes any more. */
    private static final long AFTERMATH_MILLIS = 60_000;

    private static final int ROUTERS = 3;
    /** States reach routers by a poll every 2 s. */
    private static final int POLL_PERIODS = 2;

    private final TrafficModel traffic;
    private final SplittableRandom random;
    private final RolloutDeclaration declaration;
    private final List<SimulatedRouter> routers = new ArrayList<>();
    private final FakeKeyValueStore store = new FakeKeyValueStore(() -> nowMillis());
    private long nowMillis = START_MILLIS;
    private long newVersionRequests;
    private long requests;
    private long stopAtMillis;
    private long requestsAfterStop;

    /**
     * Creates a simulation.
     *
     * @param evaluations creates the evaluations that decide
     */
    RolloutSimulation(
            TrafficModel traffic,
            long seed,
            RolloutStateCodec codec,
            Function<EvaluationBounds, VersionEvaluation> evaluations) {
        this.traffic = traffic;
        this.random = new SplittableRandom(seed);
        this.declaration = new RolloutDeclaration(
                "r" + seed,
                "drafter",
                "v1",
                "v2",
                START_MILLIS + DURATION_MILLIS,
                List.of("summary", "letter"),
                0.02,
                1.5);
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new SimulatedRouter("router-" + i, codec, evaluations));
        }
    }

    /** Runs until the rollout has an outcome or twice its time has passed. */
    Outcome run(RolloutStateCodec codec) {
        RolloutState state = null;
        long endMillis = START_MILLIS + 2 * DURATION_MILLIS;
        for (int period = 0; nowMillis < endMillis; period++) {
            double second = (nowMillis - START_MILLIS) / 1_000.0;
            store.setDown(traffic.isStoreDown(second));
            servePeriod(second);
            nowMillis += EvidenceRecorder.PERIOD_MILLIS;
            for (SimulatedRouter each : routers) {
                each.tick(period);
            }
            state = read(codec);
            boolean stopped = routers.stream().allMatch(SimulatedRouter::isStopped);
            stopAtMillis = stopped && stopAtMillis == 0 ? nowMillis : stopAtMillis;
            if (state != null
                    && state.phase() != RolloutState.Phase.RUNNING
                    && endMillis > nowMillis + AFTERMATH_MILLIS) {
                endMillis = nowMillis + AFTERMATH_MILLIS;
            }
        }
        return new Outcome(
                state, requests, newVersionRequests, stopAtMillis == 0 ? -1 : secondsAfterBadness(), requestsAfterStop);
    }

    private double secondsAfterBadness() {
        return (stopAtMillis - START_MILLIS) / 1_000.0 - traffic.firstBadSecond();
    }

    private void servePeriod(double second) {
        int count = traffic.requestCount(second, random);
        for (int i = 0; i < count; i++) {
            requests++;
            SimulatedRouter router = routers.get(random.nextInt(ROUTERS));
            RequestId id = new RequestId("office", Long.toString(requests));
            boolean isNew =
                    router.shares.versionsFor("drafter", "v1", id).get(0).equals("v2");
            newVersionRequests += isNew ? 1 : 0;
            requestsAfterStop += isNew && stopAtMillis > 0 ? 1 : 0;
            router.known = true;
            Stratum stratum = traffic.stratum(second, random);
            router.recorder.record(stratum, isNew, traffic.outcome(second, stratum, isNew, random));
        }
        Map<Stratum, Comparison> all = new HashMap<>();
        for (SimulatedRouter each : routers) {
            Map<Stratum, Comparison> own = each.recorder.drain();
            each.brake.addEvidence(own);
            String reason = each.brake.reason();
            if (reason != null) {
                each.shares.halt(declaration.name(), reason);
            }
            own.forEach((stratum, comparison) -> all.merge(stratum, comparison, Comparison::plus));
        }
        for (SimulatedRouter each : routers) {
            if (each.controller.isControlling()) {
                all.forEach((stratum, comparison) -> each.inbox.merge(stratum, comparison, Comparison::plus));
            }
        }
    }

    private @Nullable RolloutState read(RolloutStateCodec codec) {
        try {
            VersionedValue value = store.get(RolloutController.key(declaration.name()));
            return value == null ? null : codec.decode(value.value());
        } catch (LaburnummoorException outage) {
            return null;
        }
    }

    private long nowMillis() {
        return nowMillis;
    }

    /**
     * How a simulated rollout ended.
     *
     * @param state last state
     * @param requests all requests
     * @param newVersionRequests requests that the new version got
     * @param secondsToStop seconds from the time at which the version turned bad until no router sent it anything, -1
     *     if that did not happen
     * @param requestsAfterStop requests that the new version got after that
     */
    record Outcome(
            @Nullable RolloutState state,
            long requests,
            long newVersionRequests,
            double secondsToStop,
            long requestsAfterStop) {
        boolean isCompleted() {
            return state != null && state.phase() == RolloutState.Phase.COMPLETED;
        }

        boolean isRolledBack() {
            return state != null && state.phase() == RolloutState.Phase.ROLLED_BACK;
        }
    }

    /** A router's part in a rollout. */
    private final class SimulatedRouter implements RolloutEvidence {
        private final TrafficShares shares = new TrafficShares(RolloutSimulation.this::nowMillis);
        private final EvidenceRecorder recorder = new EvidenceRecorder();
        private final RolloutHalt brake;
        private final Map<Stratum, Comparison> inbox = new HashMap<>();
        private final RolloutController controller;
        private final Function<String, RolloutState> decoder;
        private boolean known;

        SimulatedRouter(
                String name, RolloutStateCodec codec, Function<EvaluationBounds, VersionEvaluation> evaluations) {
            this.brake = new RolloutHalt(
                    evaluations.apply(EvaluationBounds.of(declaration).dividedAmong(ROUTERS)));
            this.decoder = codec::decode;
            this.controller = new RolloutController(
                    store,
                    codec,
                    this,
                    new RolloutRules(MIN_DWELL_MILLIS),
                    evaluations,
                    name,
                    RolloutSimulation.this::nowMillis);
        }

        void tick(int period) {
            shares.recordPoll();
            try {
                controller.tick(List.of(declaration));
                if (period % POLL_PERIODS == 0) {
                    VersionedValue value = store.get(RolloutController.key(declaration.name()));
                    if (value != null) {
                        shares.accept(decoder.apply(value.value()));
                    }
                }
            } catch (LaburnummoorException outage) {
                // Forward steps wait for the end of the outage.
            }
        }

        boolean isStopped() {
            RolloutState state = shares.state(declaration.name());
            return known && state != null && shares.sharePerMille(state) == 0;
        }

        @Override
        public Map<Stratum, Comparison> drain(String rollout) {
            Map<Stratum, Comparison> drained = Map.copyOf(inbox);
            inbox.clear();
            return drained;
        }

        @Override
        public @Nullable String haltReason(String rollout) {
            return routers.stream()
                    .map(each -> each.shares.haltReason(rollout))
                    .filter(each -> each != null)
                    .findFirst()
                    .orElse(null);
        }

        @Override
        public void haltOnRouters(String rollout, String reason) {
            routers.forEach(each -> each.shares.halt(rollout, reason));
        }
    }
}
