package io.laburnummoor.wire.process;

import java.net.InetSocketAddress;
import java.util.Map;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import org.apache.thrift.TMultiplexedProcessor;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.jspecify.annotations.Nullable;

/** Serves several Thrift services, told apart by name, on one port. */
public final class ThriftServer implements Service {
    private static final int SELECTOR_THREADS = 1;
    private static final int MAX_SECURED_PEERS = 1_000;

    private final String host;
    private final int port;
    private final int workerThreads;
    private final TMultiplexedProcessor processor = new TMultiplexedProcessor();
    private final @Nullable PeerTls tls;
    private @Nullable TServer server;

    /** Creates a server of the given services by name. */
    public ThriftServer(String host, int port, int workerThreads, Map<String, TProcessor> services) {
        this(host, port, workerThreads, services, null);
    }

    /**
     * Creates a server that accepts only peers with a trusted certificate.
     *
     * @param tls key files, or null to serve without encryption
     */
    public ThriftServer(
            String host, int port, int workerThreads, Map<String, TProcessor> services, @Nullable PeerTls tls) {
        this.tls = tls;
        this.host = host;
        this.port = port;
        this.workerThreads = workerThreads;
        services.forEach(processor::registerProcessor);
    }

    @Override
    public void start() {
        TServer created;
        try {
            created = tls == null ? plainServer() : securedServer(tls);
        } catch (TTransportException cause) {
            throw new LaburnummoorException(
                    ErrorCode.INVALID_SETTINGS,
                    "cannot listen on " + host + ":" + port + ": " + cause.getMessage(),
                    cause);
        }
        server = created;
        new Thread(created::serve, "thrift-server").start();
    }

    @Override
    public void stop() {
        TServer running = server;
        if (running != null) {
            running.stop();
        }
    }

    private TServer plainServer() throws TTransportException {
        TNonblockingServerSocket socket = new TNonblockingServerSocket(new InetSocketAddress(host, port));
        return new TThreadedSelectorServer(new TThreadedSelectorServer.Args(socket)
                .processor(processor)
                .protocolFactory(new TCompactProtocol.Factory())
                .transportFactory(new TFramedTransport.Factory())
                .selectorThreads(SELECTOR_THREADS)
                .workerThreads(workerThreads));
    }

    /** The library's selector server has no TLS, so a secured server uses one thread for each connected peer. */
    private TServer securedServer(PeerTls keys) throws TTransportException {
        return new TThreadPoolServer(new TThreadPoolServer.Args(new TlsServerTransport(host, port, keys))
                .processor(processor)
                .protocolFactory(new TCompactProtocol.Factory())
                .transportFactory(new TFramedTransport.Factory())
                .minWorkerThreads(workerThreads)
                .maxWorkerThreads(MAX_SECURED_PEERS)
                .stopTimeoutVal(1));
    }
}
