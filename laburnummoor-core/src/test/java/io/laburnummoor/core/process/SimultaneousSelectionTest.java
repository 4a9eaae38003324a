package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedLoad;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.request.PromptPart;
import io.laburnummoor.core.version.ForwardService;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;

/**
 * Herding: after the loss of a failure domain all routers select engines at the same moment, from the same reports.
 * Guards against prompts that wait behind each other on the few engines with the lowest load while others are free.
 */
final class SimultaneousSelectionTest {
    private static final long NOW = 100_000;
    private static final int PROMPT_TOKENS = 8_200;
    private static final int ROUNDS = 40;
    /** Collisions over those of independent uniform choices that are tolerated. */
    private static final double TOLERANCE = 1.25;

    @ParameterizedTest(name = "{0} routers, {1} engines with up to {2} running generations")
    @CsvSource({"3, 17, 3", "12, 40, 2", "33, 67, 3", "33, 67, 1", "38, 54, 4", "100, 200, 4"})
    void routersSpreadOverTheEnginesThatAreFree(int routers, int engines, int maxRunning) {
        int collisions = 0;
        for (int round = 0; round < ROUNDS; round++) {
            collisions += collisionsOfOneRound(round, routers, engines, maxRunning);
        }
        double uniform = routers - engines * (1 - Math.pow(1 - 1.0 / engines, routers));
        assertThat((double) collisions / ROUNDS, is(lessThan(TOLERANCE * uniform + 0.2)));
    }

    /** Returns how many prompts share an engine with another one. */
    private static int collisionsOfOneRound(int round, int routers, int engines, int maxRunning) {
        Random random = new Random(round);
        ForwardService service = new ForwardService("drafter", 310, true, 12, 88_000, true);
        List<Integer> running = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            running.add(random.nextInt(maxRunning + 1));
        }
        Map<String, Integer> promptsByEngine = new HashMap<>();
        for (int router = 0; router < routers; router++) {
            InstanceTable table = table(round, running);
            InstanceSelector selector = new InstanceSelector(
                    "router-" + router, "domain-9", new DomainOutageDetector(), new PeerLoads(), new OrderedRollouts());
            InstanceSelector.Criteria criteria = new InstanceSelector.Criteria(
                    service, Set.of(), List.of(new PromptPart("m/" + router, PROMPT_TOKENS)), 0.5, true);
            InstanceState selected = selector.select(table, criteria, NOW);
            assertThat(selected, is(notNullValue()));
            if (selected != null) {
                promptsByEngine.merge(selected.instance().id(), 1, Integer::sum);
            }
        }
        return routers - promptsByEngine.size();
    }

    private static InstanceTable table(int round, List<Integer> running) {
        List<InstanceState> states = new ArrayList<>();
        for (int i = 0; i < running.size(); i++) {
            InstanceState state = new InstanceState(new UpstreamInstance(
                    "i-" + round + "-" + i, "drafter", "domain-" + i % 5, "10.0.0." + i, 80, "v1", 12, false, 0, 1, 1));
            state.recordReportedLoad(new ReportedLoad(running.get(i), 0), NOW);
            states.add(state);
        }
        return new InstanceTable(states);
    }
}
