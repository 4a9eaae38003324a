package io.laburnummoor.core.connection;

/**
 * Entry of the platform's list for one incarnation of an upstream.
 *
 * @param id name of the upstream; a later incarnation may have the same one
 * @param service service that it belongs to
 * @param failureDomain failure domain of its VM
 * @param host IP address
 * @param port port for requests
 * @param version version of its software
 * @param slots maximum number of requests that it runs concurrently
 * @param leaving whether it has announced that it accepts no new work
 * @param remainingWarmupMillis remaining time for which it stays slow after its start
 * @param startedAtMillis wall-clock start time by its own clock; differs between incarnations with one id; 0 if unknown
 * @param heartbeatNumber sequence number of the heartbeat that wrote the entry; a new incarnation starts anew
 */
public record UpstreamInstance(
        String id,
        String service,
        String failureDomain,
        String host,
        int port,
        String version,
        int slots,
        boolean leaving,
        long remainingWarmupMillis,
        long startedAtMillis,
        long heartbeatNumber) {
    /** Returns host and port, separated by a colon. */
    public String address() {
        return host + ":" + port;
    }

    /** Returns whether another entry describes the same incarnation. */
    public boolean isSameIncarnation(UpstreamInstance other) {
        return id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && address().equals(other.address());
    }
}
