package io.laburnummoor.router.process;

import java.net.URI;
import java.nio.file.Path;

import io.laburnummoor.wire.process.Settings;

/**
 * Settings of a router.
 *
 * @param name unique name of the router in the deployment
 * @param failureDomain failure domain of the router's VM
 * @param host IP address to listen on
 * @param httpPort port for callers
 * @param adminPort port for metrics, health checks and readiness
 * @param peerPort Thrift port for other routers
 * @param keyValueAddress address of the platform's key-value service
 * @param vmListAddress address of the platform's list of VMs
 * @param maxBodyBytes maximum size of a request body
 * @param drainMillis time for which a stopping router waits for running requests
 * @param rolloutMinStepMillis minimum time between two steps of a rollout
 * @param rolloutWebhook address to which outcomes of rollouts are posted, empty for none
 * @param logLevel minimum level of logged messages
 * @param journalAgentsPerDomain number of agents in each failure domain that store journals; must be the same on all
 *     routers
 */
public record RouterSettings(
        String name,
        String failureDomain,
        String host,
        int httpPort,
        int adminPort,
        int peerPort,
        URI keyValueAddress,
        URI vmListAddress,
        int maxBodyBytes,
        long drainMillis,
        long rolloutMinStepMillis,
        String rolloutWebhook,
        String logLevel,
        int journalAgentsPerDomain) {

    /** Default of {@code journal_agents_per_domain}; with 18 domains, a router then has 576 connections to agents. */
    public static final int DEFAULT_JOURNAL_AGENTS_PER_DOMAIN = 32;

    private static final int MAX_JOURNAL_AGENTS_PER_DOMAIN = 1_000;

    /**
     * Reads and validates a settings file.
     *
     * @throws io.laburnummoor.core.LaburnummoorException with code {@code invalid_settings} if a setting is invalid
     */
    public static RouterSettings read(Path file) {
        Settings settings = Settings.read(file);
        RouterSettings result = new RouterSettings(
                settings.text("name"),
                settings.text("failure_domain"),
                settings.text("host"),
                settings.integer("http_port", 1, 65_535),
                settings.integer("admin_port", 1, 65_535),
                settings.integer("peer_port", 1, 65_535),
                httpAddress(settings, "key_value_address"),
                httpAddress(settings, "vm_list_address"),
                settings.integerOr("max_body_bytes", 4 << 20, 1_024, 64 << 20),
                settings.integerOr("drain_millis", 30_000, 0, 3_600_000),
                settings.integerOr("rollout_min_step_millis", 30_000, 1_000, 3_600_000),
                settings.textOr("rollout_webhook", ""),
                settings.textOr("log_level", "INFO"),
                settings.integerOr(
                        "journal_agents_per_domain",
                        DEFAULT_JOURNAL_AGENTS_PER_DOMAIN,
                        1,
                        MAX_JOURNAL_AGENTS_PER_DOMAIN));
        settings.throwIfFaulty();
        return result;
    }

    private static URI httpAddress(Settings settings, String key) {
        return URI.create(settings.text(key, text -> text.matches("http://[^ ]+"), "must be an http address"));
    }
}
