package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** One connection of a client. */
final class Client implements AutoCloseable {
    private static final AtomicLong COUNT = new AtomicLong(System.nanoTime());

    /** An answer, or why there is none. */
    record Answer(String id, int status, String seal, int bodyBytes, String failure) {
        @Override
        public String toString() {
            return failure.isEmpty()
                    ? id + " status " + status + (seal.isEmpty() ? "" : " of " + seal) + ", " + bodyBytes + " bytes"
                    : id + " " + (status == 0 ? "" : "status " + status + ", ") + failure;
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;

    Client(int port, int receiveBufferBytes) throws IOException {
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
        socket.setSoTimeout(30_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), 1 << 14);
    }

    Client(int port) throws IOException {
        this(port, 0);
    }

    static String newId() {
        return String.format("%016x", COUNT.incrementAndGet());
    }

    static String head(String method, String path, String id, boolean key, int deadlineMillis, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Lab.HOST + "\r\nX-Laburnummoor-Attempt-Id: " + id
                + "\r\nX-Laburnummoor-Deadline-Ms: " + deadlineMillis + "\r\n"
                + (key ? "X-Api-Key: " + Lab.KEY + "\r\n" : "")
                + (length < 0 ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes, int from, int length) throws IOException {
        socket.getOutputStream().write(bytes, from, length);
    }

    InputStream input() {
        return in;
    }

    Answer read(String id) {
        int status = 0;
        try {
            Http.Head head = Http.head(in);
            status = head.status();
            byte[] body = Http.body(in, head);
            return new Answer(id, status, head.header("x-laburnummoor-server-seal"), body.length, "");
        } catch (IOException ended) {
            return new Answer(id, status, "", 0, "no complete answer: " + ended.getMessage());
        }
    }

    /** Sends one request on a connection of its own and reads its answer. */
    static Answer call(int port, String method, String path, boolean key) {
        String id = newId();
        try (Client client = new Client(port)) {
            client.write(head(method, path, id, key, 25_000, method.equals("GET") ? -1 : 0));
            return client.read(id);
        } catch (IOException failed) {
            return new Answer(id, 0, "", 0, "no connection: " + failed.getMessage());
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException closed) {
            // Nothing is left to close.
        }
    }
}
