package io.laburnummoor.wire.process;

import java.util.List;

import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.connection.Upstream;

/**
 * The platform's list of VMs at one moment; it lags behind.
 *
 * @param upstreams VMs with an upstream and an agent
 * @param routers entry VMs
 */
public record VmList(List<Upstream> upstreams, List<RouterPeer> routers) {}
