package io.laburnummoor.core.connection;

/**
 * Addresses and failure domain of one upstream and of the agent on the same VM, from the VM list.
 *
 * @param id name of the upstream, unique in the deployment
 * @param service name of the service that it belongs to
 * @param failureDomain failure domain of its VM
 * @param host IP address of its VM
 * @param port port of the upstream
 * @param agentPort port of the agent
 * @param leaving whether the VM list marks it as leaving, so that it gets no new work
 */
public record Upstream(
        String id, String service, String failureDomain, String host, int port, int agentPort, boolean leaving) {}
