package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for an engine: one request at a time on a connection, answers as its behaviour says. */
final class Engine implements AutoCloseable {
    /** Answers one request. */
    interface Behaviour {
        void answer(Call call) throws IOException, InterruptedException;
    }

    /** One request that the engine has read. */
    record Call(Engine engine, Http.Head head, byte[] body, OutputStream out) {
        String id() {
            return head.header("x-laburnummoor-attempt-id");
        }

        /** Sends a complete answer with the engine's seal. */
        void send(int status, byte[] bytes) throws IOException {
            out.write((head(status) + "Content-Length: " + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.flush();
        }

        String head(int status) {
            return "HTTP/1.1 " + status + " X\r\nX-Laburnummoor-Attempt-Id: " + id()
                    + "\r\nX-Laburnummoor-Server-Seal: " + engine.id + "." + engine.sealCount.incrementAndGet()
                    + "\r\nKeep-Alive: timeout=10\r\n";
        }
    }

    final String id;
    final String service;
    private final RecordFile record;
    private final Behaviour behaviour;
    private final ServerSocket listener;
    private final AtomicLong sealCount = new AtomicLong();
    private final List<Socket> open = new ArrayList<>();
    private volatile boolean dark;

    Engine(String id, String service, RecordFile record, Behaviour behaviour) throws IOException {
        this.id = id;
        this.service = service;
        this.record = record;
        this.behaviour = behaviour;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Lab.thread("engine-" + id, this::accept);
    }

    /** The engine's entry in the store, under servers/ID. */
    void register(Store store, String state, long sequence) {
        Map<String, Object> entry = Json.of(
                "Service", service,
                "Address", "127.0.0.1:" + listener.getLocalPort(),
                "Zone", "sapporo",
                "Version", "v1",
                "Slots", 64,
                "State", state,
                "ColdRemainingMs", 0,
                "Sequence", sequence);
        store.put("servers/" + id, Json.write(entry));
    }

    /** The engine goes dark: it answers nothing any more, and its connections stay silent without a close. */
    void goDark() {
        dark = true;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                synchronized (open) {
                    open.add(socket);
                }
                Lab.thread("engine-" + id, () -> serve(socket));
            }
        } catch (IOException closed) {
            // The engine was closed.
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            while (true) {
                Http.Head head = Http.head(in);
                byte[] body = Http.body(in, head);
                String attempt = head.header("x-laburnummoor-attempt-id");
                String expected = head.header("x-laburnummoor-expected-instance");
                if (dark) {
                    return;
                }
                Call call = new Call(this, head, body, socket.getOutputStream());
                if (!expected.isEmpty() && !expected.equals(id)) {
                    call.send(421, new byte[0]);
                    continue;
                }
                record.line("engine " + id + " (" + service + ") runs " + attempt + " " + head.first() + ", body "
                        + body.length + " bytes");
                behaviour.answer(call);
            }
        } catch (IOException | InterruptedException ended) {
            // The gateway closed the connection, or the engine was closed.
        }
        if (!dark) {
            close(socket);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException closed) {
            // Nothing is left to close.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        synchronized (open) {
            for (Socket each : open) {
                each.close();
            }
        }
    }
}
