package io.laburnummoor.core.connection;

/**
 * Address and failure domain of one router, from the VM list.
 *
 * @param name name of the router
 * @param failureDomain failure domain of its VM
 * @param host IP address of its VM
 * @param peerPort Thrift port for connections from other routers
 */
public record RouterPeer(String name, String failureDomain, String host, int peerPort) {}
