package io.laburnummoor.router.process;

import java.net.URI;
import java.nio.file.Path;

import io.laburnummoor.wire.process.Settings;

/**
 * Settings of a router.
 *
 * @param name name of the router, unique in the deployment
 * @param failureDomain failure domain of its VM
 * @param host IP address to listen on
 * @param httpPort port for callers
 * @param adminPort port of metrics, health and readiness
 * @param peerPort Thrift port for other routers
 * @param keyValueAddress address of the platform's key-value service
 * @param vmListAddress address of the platform's list of VMs
 * @param maxBodyBytes greatest size of a request body
 * @param drainMillis time that a stopping router gives to running requests
 * @param rolloutMinStepMillis shortest time between two steps of a rollout
 * @param rolloutWebhook address that outcomes of rollouts are sent to, empty for none
 * @param logLevel lowest level that is logged
 * @param journalAgentsPerDomain number of agents in each failure domain that keep journals; the same on all routers
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

    /** Default of {@code journal_agents_per_domain}: 18 domains then make 576 connections for a router. */
    public static final int DEFAULT_JOURNAL_AGENTS_PER_DOMAIN = 32;

    private static final int MAX_JOURNAL_AGENTS_PER_DOMAIN = 1_000;

    /** Reads and checks a settings file. */
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
