package io.laburnummoor.wire.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

import org.apache.thrift.transport.TServerTransport;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/** Accepts connections and secures each with the key files that are current at that moment. */
final class TlsServerTransport extends TServerTransport {
    private final ServerSocket socket;
    private final PeerTls tls;

    TlsServerTransport(String host, int port, PeerTls tls) throws TTransportException {
        this.tls = tls;
        try {
            this.socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(host, port));
        } catch (IOException cause) {
            throw new TTransportException(cause);
        }
    }

    @Override
    public void listen() {}

    @Override
    public TTransport accept() throws TTransportException {
        try {
            Socket plain = socket.accept();
            return new TSocket(tls.accept(plain));
        } catch (IOException cause) {
            throw new TTransportException(cause);
        }
    }

    @Override
    public void interrupt() {
        close();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to release when closing fails.
        }
    }
}
