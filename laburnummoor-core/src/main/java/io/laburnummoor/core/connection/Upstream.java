package io.laburnummoor.core.connection;

/**
 * Addresses and place of one upstream and of the agent beside it, as the VM list gives them.
 *
 * @param id name of the upstream, unique in the deployment
 * @param service name of the service that it belongs to
 * @param failureDomain failure domain of its VM
 * @param host IP address of its VM
 * @param port port of the upstream
 * @param agentPort port of the agent
 * @param leaving whether the VM list says that it is leaving
 */
public record Upstream(
        String id, String service, String failureDomain, String host, int port, int agentPort, boolean leaving) {}
