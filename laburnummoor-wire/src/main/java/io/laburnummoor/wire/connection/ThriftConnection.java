package io.laburnummoor.wire.connection;

import java.util.function.Function;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TMultiplexedProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.jspecify.annotations.Nullable;

/**
 * A connection to one Thrift service of an agent or a router, opened at the first call and again after a failure. Not
 * safe for use by several threads at once.
 *
 * <pre>{@code
 * ThriftConnection<AgentService.Client> agent =
 *     new ThriftConnection<>("127.0.0.1", 7001, 250, "agent", AgentService.Client::new);
 * AgentStatus status = agent.call(client -> client.status("router-1"));
 * }</pre>
 *
 * @param <C> generated client
 */
public final class ThriftConnection<C> implements AutoCloseable {
    private final String host;
    private final int port;
    private final int timeoutMillis;
    private final String serviceName;
    private final Function<TProtocol, C> clientFactory;
    private final PeerSocketFactory sockets;
    private @Nullable TTransport transport;
    private @Nullable C client;

    /**
     * Creates a connection that opens at the first call.
     *
     * @param serviceName name under which the server has registered the service
     * @param clientFactory constructor of the generated client
     */
    public ThriftConnection(
            String host, int port, int timeoutMillis, String serviceName, Function<TProtocol, C> clientFactory) {
        this(host, port, timeoutMillis, serviceName, clientFactory, PeerSocketFactory.PLAIN);
    }

    /** Creates a connection whose sockets come from the given factory. */
    public ThriftConnection(
            String host,
            int port,
            int timeoutMillis,
            String serviceName,
            Function<TProtocol, C> clientFactory,
            PeerSocketFactory sockets) {
        this.sockets = sockets;
        this.host = host;
        this.port = port;
        this.timeoutMillis = timeoutMillis;
        this.serviceName = serviceName;
        this.clientFactory = clientFactory;
    }

    /**
     * Makes one call.
     *
     * @throws LaburnummoorException with code {@code peer_unreachable} if the peer does not answer in time; it is then
     *     unknown whether the call took effect
     */
    public <T> T call(Call<C, T> call) {
        try {
            return call.run(connect());
        } catch (TException cause) {
            close();
            throw new LaburnummoorException(
                    ErrorCode.PEER_UNREACHABLE, host + ":" + port + " did not answer: " + cause, cause);
        }
    }

    @Override
    public void close() {
        TTransport open = transport;
        transport = null;
        client = null;
        if (open != null) {
            open.close();
        }
    }

    private C connect() throws TTransportException {
        C known = client;
        if (known != null) {
            return known;
        }
        TTransport framed = new TFramedTransport(sockets.open(host, port, timeoutMillis));
        C opened = clientFactory.apply(new TMultiplexedProtocol(new TCompactProtocol(framed), serviceName));
        transport = framed;
        client = opened;
        return opened;
    }

    /**
     * A call on the generated client.
     *
     * @param <C> generated client
     * @param <T> result
     */
    public interface Call<C, T> {
        /** Makes the call. */
        T run(C client) throws TException;
    }
}
