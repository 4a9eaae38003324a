package io.laburnummoor.core.connection;

import java.util.List;

/**
 * Content of one heartbeat of an agent.
 *
 * @param agentIncarnation differs for each start of the agent
 * @param upstreamAlive whether the upstream responds to its agent
 * @param upstreamIncarnation differs for each start of the upstream
 * @param leaving whether the upstream accepts no new work any more
 * @param runningCount number of requests that the upstream runs
 * @param waitingCount number of requests that wait in the upstream
 * @param version upstream version
 * @param adapters loaded adapters
 */
public record UpstreamReport(
        long agentIncarnation,
        boolean upstreamAlive,
        long upstreamIncarnation,
        boolean leaving,
        int runningCount,
        int waitingCount,
        String version,
        List<String> adapters) {}
