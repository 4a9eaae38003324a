package io.laburnummoor.agent.process;

import java.nio.file.Path;

import io.laburnummoor.wire.process.Settings;

/**
 * Settings of an agent.
 *
 * @param agentId name of the agent and of the upstream beside it
 * @param host IP address to listen on
 * @param port Thrift port
 * @param metricsPort port of metrics and health
 * @param upstreamHost IP address of the upstream
 * @param upstreamPort port of the upstream
 * @param journalMaxBytes bound on the memory of journaled answers
 * @param journalRetentionMillis time that a journaled answer is kept after its last change
 * @param drainMillis time for which a stopping agent goes on answering, so that routers see that it leaves
 * @param keyValueAddress address of the platform's key-value service, empty if this agent is to take no orders
 * @param logLevel lowest level that is logged
 */
public record AgentSettings(
        String agentId,
        String host,
        int port,
        int metricsPort,
        String upstreamHost,
        int upstreamPort,
        long journalMaxBytes,
        long journalRetentionMillis,
        long drainMillis,
        String keyValueAddress,
        String logLevel) {

    /** Reads and checks a settings file. */
    public static AgentSettings read(Path file) {
        Settings settings = Settings.read(file);
        AgentSettings result = new AgentSettings(
                settings.text("agent_id"),
                settings.text("host"),
                settings.integer("port", 1, 65_535),
                settings.integer("metrics_port", 1, 65_535),
                settings.text("upstream_host"),
                settings.integer("upstream_port", 1, 65_535),
                settings.integerOr("journal_max_bytes", 32 << 20, 1 << 20, 1 << 30),
                settings.integerOr("journal_retention_millis", 600_000, 1_000, 3_600_000),
                settings.integerOr("drain_millis", 3_000, 0, 600_000),
                settings.textOr("key_value_address", ""),
                settings.textOr("log_level", "INFO"));
        settings.throwIfFaulty();
        return result;
    }
}
