package io.laburnummoor.core.connection;

/**
 * One life of an upstream as the platform's list shows it.
 *
 * @param id name of this life of the upstream
 * @param service service that it belongs to
 * @param failureDomain failure domain of its VM
 * @param host IP address
 * @param port port for requests
 * @param version version of its software
 * @param slots requests that it runs at once
 * @param leaving whether it has announced that it leaves
 * @param remainingWarmupMillis time for which it stays slow after its start
 * @param startedAtMillis wall-clock time of its start by its own clock; tells apart two lives under one id; 0 if unknown
 * @param heartbeatNumber number of its last heartbeat
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

    /** Returns whether another entry describes the same life. */
    public boolean isSameIncarnation(UpstreamInstance other) {
        return id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && address().equals(other.address());
    }
}
