package io.laburnummoor.bench.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.RolloutController;
import io.laburnummoor.core.process.RolloutEvidence;
import io.laburnummoor.core.process.TrafficShares;
import io.laburnummoor.core.version.Comparison;
import io.laburnummoor.core.version.RolloutDeclaration;
import io.laburnummoor.core.version.RolloutRules;
import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.core.version.Stratum;
import io.laburnummoor.core.version.VersionEvaluation;
import io.laburnummoor.wire.version.RolloutJson;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.jspecify.annotations.Nullable;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Guards against steps that are applied twice, second outcomes, and traffic after a rollback, with two controllers,
 * lost answers, lapsed leases and outages in any order.
 */
final class RolloutFuzzTest {
    private static final int ROUTERS = 2;

    @Property(tries = 1_500, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
    void everyHistoryIsLegal(@ForAll @Size(min = 20, max = 200) List<@IntRange(max = 99) Integer> actions) {
        World world = new World();
        for (int action : actions) {
            world.act(action);
            world.check();
        }
    }

    /** Two routers, either of which may be the controller, and the oracle: the list of all states that were stored. */
    private static final class World {
        private static final String NAME = "r1";

        private final RolloutJson codec = new RolloutJson();
        private final FakeKeyValueStore store = new FakeKeyValueStore(() -> this.nowMillis);
        private final List<RolloutState> history = new ArrayList<>();
        private final List<RolloutController> controllers = new ArrayList<>();
        private final List<TrafficShares> shares = new ArrayList<>();
        private final Map<Integer, Boolean> stopped = new HashMap<>();
        private final RolloutDeclaration declaration =
                new RolloutDeclaration(NAME, "drafter", "v1", "v2", 400_000, List.of(), 0.02, 1.5);
        private long nowMillis = 1_000;
        private boolean bad;

        World() {
            for (int i = 0; i < ROUTERS; i++) {
                TrafficShares own = new TrafficShares(() -> nowMillis);
                shares.add(own);
                controllers.add(new RolloutController(
                        store,
                        codec,
                        new Evidence(own),
                        new RolloutRules(5_000),
                        bounds -> new StubEvaluation(),
                        "router-" + i,
                        () -> nowMillis));
            }
        }

        void act(int action) {
            int router = action % ROUTERS;
            if (action < 60) {
                // Mostly the clock goes on and controllers run, so that rollouts get far.
                nowMillis += 5_000;
                tick(router);
            } else if (action < 70) {
                read(router);
            } else if (action < 76 && !history.isEmpty()) {
                // A delayed reply carries an old state.
                shares.get(router).accept(history.get(action % history.size()));
            } else if (action < 82) {
                store.loseAnswers(1 + router);
            } else if (action < 88) {
                store.lapseLeases();
            } else if (action < 94) {
                store.setDown(action % 3 == 0);
            } else if (action == 94) {
                bad = true;
            } else if (action == 95) {
                shares.get(router).halt(NAME, "own evidence");
            } else {
                nowMillis += 20_000;
            }
        }

        void check() {
            String text = store.peek(RolloutController.key(NAME));
            if (text != null) {
                record(codec.decode(text));
            }
            for (int i = 0; i < ROUTERS; i++) {
                RolloutState known = shares.get(i).state(NAME);
                boolean ended = known != null && known.phase() == RolloutState.Phase.ROLLED_BACK;
                if (ended || shares.get(i).haltReason(NAME) != null) {
                    stopped.put(i, true);
                }
                if (stopped.containsKey(i) && known != null) {
                    assertThat("share of a stopped version", shares.get(i).sharePerMille(known), equalTo(0));
                }
            }
        }

        private void record(RolloutState state) {
            if (history.isEmpty()) {
                history.add(state);
                assertThat("first step", state.step(), equalTo(0));
                return;
            }
            RolloutState before = history.get(history.size() - 1);
            if (state.equals(before)) {
                return;
            }
            assertThat("an outcome is final", before.phase(), equalTo(RolloutState.Phase.RUNNING));
            assertThat("one change at a time", state.change(), equalTo(before.change() + 1));
            assertThat("a step is applied once", state.step() - before.step(), lessThanOrEqualTo(1));
            assertThat(
                    "one event for each change",
                    state.events().size(),
                    greaterThan(before.events().size()));
            if (state.step() > before.step()) {
                assertThat("no step forward on bad evidence", bad, equalTo(false));
                assertThat("dwell", state.stepAtMillis() - before.stepAtMillis(), greaterThan(4_999L));
            }
            history.add(state);
        }

        private void tick(int router) {
            try {
                controllers.get(router).tick(List.of(declaration));
            } catch (LaburnummoorException outage) {
                // The next tick reads the state again.
            }
            shares.get(router).recordPoll();
        }

        private void read(int router) {
            try {
                var value = store.get(RolloutController.key(NAME));
                if (value != null) {
                    shares.get(router).accept(codec.decode(value.value()));
                }
            } catch (LaburnummoorException outage) {
                // The last known state stays in use.
            }
        }

        private final class Evidence implements RolloutEvidence {
            private final TrafficShares own;

            Evidence(TrafficShares own) {
                this.own = own;
            }

            @Override
            public Map<Stratum, Comparison> drain(String rollout) {
                return Map.of();
            }

            @Override
            public @Nullable String haltReason(String rollout) {
                return own.haltReason(rollout);
            }

            @Override
            public void haltOnRouters(String rollout, String reason) {
                shares.forEach(each -> each.halt(rollout, reason));
            }
        }

        private final class StubEvaluation implements VersionEvaluation {
            private long compared;

            @Override
            public void add(Map<Stratum, Comparison> period) {
                compared += RolloutRules.MIN_COMPARED_REQUESTS;
            }

            @Override
            public Verdict verdict() {
                return new Verdict(bad, false, compared, "stub");
            }
        }
    }
}
