package io.laburnummoor.router.process;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.process.ProcessStatus;
import io.laburnummoor.router.connection.ConfigHandler;
import io.laburnummoor.wire.connection.ThriftConnection;
import io.laburnummoor.wire.generated.ConfigService;
import io.laburnummoor.wire.generated.ConfigStatus;
import io.laburnummoor.wire.process.JsonHttp;
import io.laburnummoor.wire.process.VmList;
import io.laburnummoor.wire.process.VmListClient;

/** Queries the configuration status of the routers on the VM list, for the operators' commands. */
final class RouterStatusClient {
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int QUERY_THREADS = 32;

    private final VmListClient vmList;

    RouterStatusClient(JsonHttp http, URI vmListAddress) {
        this.vmList = new VmListClient(http, vmListAddress);
    }

    /**
     * Reads the VM list.
     *
     * @throws LaburnummoorException with code {@code peer_unreachable} if it cannot be read
     */
    VmList readVmList() {
        try {
            return vmList.read();
        } catch (IOException cause) {
            throw new LaburnummoorException(
                    ErrorCode.PEER_UNREACHABLE, "cannot read the VM list: " + cause.getMessage(), cause);
        }
    }

    /** Queries routers concurrently; those that do not answer are reported as unreachable. */
    static List<ProcessStatus> queryStatus(List<RouterPeer> routers) {
        ExecutorService executor = Executors.newFixedThreadPool(QUERY_THREADS);
        try {
            List<Future<ProcessStatus>> pending = routers.stream()
                    .map(router -> executor.submit(() -> queryStatus(router)))
                    .toList();
            return pending.stream().map(RouterStatusClient::await).toList();
        } finally {
            executor.shutdownNow();
        }
    }

    private static ProcessStatus queryStatus(RouterPeer router) {
        try (ThriftConnection<ConfigService.Client> connection = new ThriftConnection<>(
                router.host(),
                router.peerPort(),
                TIMEOUT_MILLIS,
                ConfigHandler.SERVICE_NAME,
                ConfigService.Client::new)) {
            ConfigStatus status = connection.call(ConfigService.Client::status);
            return new ProcessStatus(
                    router, true, status.getRevision(), status.getDigest(), Set.copyOf(status.getSchemaVersions()));
        } catch (LaburnummoorException unreachable) {
            return ProcessStatus.unreachable(router);
        }
    }

    private static ProcessStatus await(Future<ProcessStatus> pending) {
        try {
            return pending.get();
        } catch (InterruptedException | ExecutionException cause) {
            throw new LaburnummoorException(ErrorCode.INTERNAL, "cannot query the status of a router: " + cause, cause);
        }
    }
}
