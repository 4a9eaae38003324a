package io.laburnummoor.bench.process;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.laburnummoor.bench.request.JournalLoad;
import io.laburnummoor.wire.connection.ThriftConnection;
import io.laburnummoor.wire.generated.AgentService;

/** Fills the journal of a running agent. */
@Parameters(commandDescription = "Fill the journal of a running agent")
final class JournalLoadCommand implements BenchCommand {
    private static final int TIMEOUT_MILLIS = 5_000;

    @Parameter(names = "--agent-port", required = true, description = "Thrift port of the agent on 127.0.0.1")
    private int agentPort;

    @Parameter(names = "--answers", description = "number of answers")
    private int answers = 100;

    @Parameter(names = "--tokens", description = "number of tokens appended to each answer")
    private int tokens = 1_000;

    @Override
    public int run() {
        try (ThriftConnection<AgentService.Client> agent =
                new ThriftConnection<>("127.0.0.1", agentPort, TIMEOUT_MILLIS, "agent", AgentService.Client::new)) {
            JournalLoad load = new JournalLoad(agent, "load", answers);
            for (int i = 0; i < tokens; i++) {
                load.appendOne();
            }
        }
        return 0;
    }
}
