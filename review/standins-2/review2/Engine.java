package review2;

import java.io.BufferedInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

/** An engine on a loopback address that lists itself in the store and serves one request at a time on a connection. */
final class Engine implements AutoCloseable {
    static final long HEARTBEAT_MILLIS = 1_200;

    /** What an engine does with a request that names its incarnation. */
    interface Behaviour {
        /** Runs a request and writes its answer; returns whether the connection stays open. */
        boolean serve(Http request, OutputStream out) throws Exception;
    }

    final String id;
    private final Case run;
    private final String service;
    private final String zone;
    private final int slots;
    private final Store store;
    private final Behaviour behaviour;
    private final ServerSocket listener;
    private final Set<Socket> connections = new HashSet<>();
    private final long bornMillis = System.currentTimeMillis();
    private long sequence;
    private volatile boolean listed;
    private volatile boolean halted;
    private volatile boolean closed;

    Engine(Case run, String id, String service, String zone, int slots, Store store, Behaviour behaviour)
            throws IOException {
        this.run = run;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.store = store;
        this.behaviour = behaviour;
        this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start(id, this::accept);
    }

    String key() {
        return "servers/" + id;
    }

    /** Lists the engine and renews its entry at each heartbeat. */
    void list() {
        listed = true;
        Threads.start(id + " heartbeat", () -> {
            while (listed && !closed) {
                writeEntry();
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    /** Ends the heartbeats, before the entry is removed. */
    synchronized void stopHeartbeats() {
        listed = false;
    }

    private synchronized void writeEntry() {
        if (listed) {
            store.put(key(), entry(service, zone, slots, listener.getLocalPort(), bornMillis, ++sequence));
        }
    }

    private static Object entry(String service, String zone, int slots, int port, long bornMillis, long sequence) {
        return Json.of(
                "Service", service,
                "Address", "127.0.0.1:" + port,
                "Zone", zone,
                "Version", "v1",
                "Slots", slots,
                "State", "ready",
                "ColdRemainingMs", 0,
                "Sequence", sequence,
                "born", bornMillis);
    }

    private void accept() throws IOException {
        while (!closed) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            synchronized (connections) {
                connections.add(socket);
            }
            Threads.start(id + " connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = new Output(socket.getOutputStream());
            boolean open = true;
            for (Http request = Http.readRequest(in); open && request != null; request = Http.readRequest(in)) {
                open = answer(request, out);
                if (!open) {
                    return;
                }
            }
        } finally {
            synchronized (connections) {
                connections.remove(socket);
            }
        }
    }

    /** Rejects a request for another incarnation or without an id, and runs any other one. */
    private boolean answer(Http request, OutputStream out) throws Exception {
        String attempt = request.header("X-Laburnummoor-Attempt-Id");
        String expected = request.header("X-Laburnummoor-Expected-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Laburnummoor-Instance-Id: " + id
                    + "\r\nX-Laburnummoor-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (attempt.isEmpty()) {
            write(out, "HTTP/1.1 400 Bad Request\r\nX-Laburnummoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        run.line("run " + attempt + " at " + id);
        return behaviour.serve(request, out);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** The output of a connection, on which an engine that has stopped writes nothing more. */
    private final class Output extends FilterOutputStream {
        Output(OutputStream out) {
            super(out);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            if (halted) {
                throw new IOException("the engine has stopped");
            }
            out.write(bytes, offset, length);
        }
    }

    /** The engine stops in the middle of its work, as at the moment of a crash; its connections are still there. */
    void halt() {
        halted = true;
        stopHeartbeats();
    }

    /** The engine crashes: its port closes, its connections are reset, and it sends nothing more. */
    void crash() {
        stopHeartbeats();
        synchronized (connections) {
            for (Socket each : connections) {
                try {
                    each.setSoLinger(true, 0);
                } catch (IOException closedBefore) {
                    continue;
                }
            }
        }
        close();
    }

    /** The engine exits: its port and all its connections close. */
    @Override
    public void close() {
        closed = true;
        Threads.closeQuietly(listener);
        synchronized (connections) {
            connections.forEach(Threads::closeQuietly);
        }
    }
}
