package io.laburnummoor.gateway.connection;

/** Receives notice of bytes from an upstream that belong to no open request. */
public interface UnsolicitedBytesListener {
    /**
     * Called on the event loop of the connection.
     *
     * @param address host and port of the upstream
     * @param byteCount number of bytes that have arrived
     * @param requestCount number of requests that were sent on the connection before
     */
    void onUnsolicitedBytes(String address, int byteCount, int requestCount);
}
