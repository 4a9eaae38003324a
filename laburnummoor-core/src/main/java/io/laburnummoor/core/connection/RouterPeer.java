package io.laburnummoor.core.connection;

/**
 * Address and place of one router, as the VM list gives them.
 *
 * @param name name of the router
 * @param failureDomain failure domain of its VM
 * @param host IP address of its VM
 * @param peerPort Thrift port for other routers
 */
public record RouterPeer(String name, String failureDomain, String host, int peerPort) {}
