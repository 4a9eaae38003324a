package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;

import io.laburnummoor.core.connection.Upstream;
import io.laburnummoor.core.connection.UpstreamState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

/** Guards against routers that keep a connection to every agent, or that select different agents for journals. */
final class JournalPlacementTest {
    @ParameterizedTest(name = "{0} domains with {1} agents, {2} chosen in each")
    @CsvSource({"3, 8, 8", "18, 100, 32", "2, 40, 1"})
    void everyRouterChoosesTheSameAgents(int domains, int agentsPerDomain, int chosenPerDomain) {
        List<UpstreamState> agents = new ArrayList<>();
        for (int domain = 0; domain < domains; domain++) {
            for (int i = 0; i < agentsPerDomain; i++) {
                String id = "agent-" + domain + "-" + i;
                agents.add(new UpstreamState(new Upstream(id, "drafter", "domain" + domain, "127.0.0.1", 1, 2, false)));
            }
        }
        List<UpstreamState> shuffled = new ArrayList<>(agents);
        Collections.shuffle(shuffled, new Random(1));

        List<UpstreamState> chosen = JournalPlacement.selectAgents(agents, chosenPerDomain);

        assertThat(JournalPlacement.selectAgents(shuffled, chosenPerDomain), equalTo(chosen));
        assertThat(
                chosen.stream()
                        .collect(Collectors.groupingBy(each -> each.upstream().failureDomain(), Collectors.counting()))
                        .values(),
                everyItem(is((long) chosenPerDomain)));
    }
}
