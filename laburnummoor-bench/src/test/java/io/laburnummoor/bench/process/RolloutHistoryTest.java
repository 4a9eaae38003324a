package io.laburnummoor.bench.process;

import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.core.version.SequentialEvaluation;
import io.laburnummoor.wire.version.RolloutJson;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against unintended changes of whole rollouts: steps, times, outcomes and the evidence shown to operators. */
final class RolloutHistoryTest {
    @ParameterizedTest
    @EnumSource(
            value = TrafficModel.Kind.class,
            names = {"GOOD_DOMAIN_LOSS", "GOOD_STORE_OUTAGE", "BAD_AT_ONCE", "BAD_UNDER_LOAD", "BAD_SLOW_ONE_ROUTE"})
    void historyIsAsApproved(TrafficModel.Kind kind) {
        RolloutJson codec = new RolloutJson();
        RolloutSimulation.Outcome outcome =
                new RolloutSimulation(new TrafficModel(kind), 7, codec, SequentialEvaluation::new).run(codec);
        StringBuilder text = new StringBuilder();
        RolloutState state = outcome.state();
        if (state != null) {
            for (RolloutState.Event each : state.events()) {
                text.append(each.atMillis() - state.startedAtMillis())
                        .append(" ms  ")
                        .append(each.kind())
                        .append(": ")
                        .append(each.detail())
                        .append('\n');
            }
        }
        Approvals.verify(text.toString(), new Options().forFile().withAdditionalInformation(kind.name()));
    }
}
