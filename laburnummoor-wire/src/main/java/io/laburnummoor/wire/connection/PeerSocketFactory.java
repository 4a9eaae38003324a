package io.laburnummoor.wire.connection;

import java.io.IOException;
import java.net.Socket;

import io.laburnummoor.wire.process.PeerTls;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/** Opens the connections between processes of the system. */
public interface PeerSocketFactory {
    /** Opens connections without encryption, for deployments on one machine. */
    PeerSocketFactory PLAIN = (host, port, timeoutMillis) -> {
        TSocket socket = new TSocket(host, port, timeoutMillis);
        socket.open();
        return socket;
    };

    /** Returns an open connection whose reads fail after the timeout. */
    TTransport open(String host, int port, int timeoutMillis) throws TTransportException;

    /** Returns a factory of connections with mutual TLS. */
    static PeerSocketFactory secured(PeerTls tls) {
        return (host, port, timeoutMillis) -> {
            try {
                Socket socket = tls.connect(host, port, timeoutMillis);
                socket.setSoTimeout(timeoutMillis);
                return new TSocket(socket);
            } catch (IOException cause) {
                throw new TTransportException(cause);
            }
        };
    }
}
