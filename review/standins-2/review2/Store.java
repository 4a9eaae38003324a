package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The platform's metadata store on a loopback address, as PROTOCOL.md describes it; it loses nothing. */
final class Store implements AutoCloseable {
    private final ServerSocket listener;
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    /** Connections whose watch waits, with the time since which it does. */
    private final Map<Socket, Long> waiting = new HashMap<>();

    private final Set<Socket> connections = new HashSet<>();
    private long revision = 1;
    private long lastLease = 70_000;
    private volatile boolean closed;

    Store() throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("store", this::accept);
        Threads.start("leases", this::expireLeases);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes a key as the operator or an engine does, and returns when the store has accepted it. */
    synchronized void put(String key, Object document) {
        set(key, base64(Json.write(document)), 0);
    }

    synchronized void remove(String key) {
        drop(key);
    }

    synchronized boolean contains(String key) {
        return items.containsKey(key);
    }

    /** Cuts the connections whose watch waits, once there is one that has waited for some milliseconds. */
    void cutWaitingWatches(long minWaitedMillis) throws InterruptedException {
        while (true) {
            synchronized (this) {
                long now = Threads.nowMillis();
                if (waiting.values().stream().anyMatch(since -> now - since >= minWaitedMillis)) {
                    waiting.keySet().forEach(Threads::closeQuietly);
                    waiting.clear();
                    return;
                }
            }
            Thread.sleep(1);
        }
    }

    private void accept() throws IOException {
        while (!closed) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            synchronized (this) {
                connections.add(socket);
            }
            Threads.start("store connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http request = Http.readRequest(in); request != null; request = Http.readRequest(in)) {
                Answer answer = answer(request, socket);
                if (socket.isClosed()) {
                    return;
                }
                byte[] body = answer.body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer.status + " Status\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n";
                OutputStream out = socket.getOutputStream();
                out.write((head + answer.body).getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }
    }

    private record Answer(int status, String body) {}

    private Answer answer(Http request, Socket socket) {
        String[] target = request.second().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        for (String each : (target.length > 1 ? target[1] : "").split("&")) {
            String[] pair = each.split("=", 2);
            query.put(pair[0], pair.length > 1 ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
        }
        return switch (target[0].split("/")[2]) {
            case "kv-key" -> key(query.get("Key"));
            case "kv-range" -> range(query.getOrDefault("Prefix", ""), query.getOrDefault("After", ""));
            case "kv-watch" -> watch(
                    query.getOrDefault("Prefix", ""),
                    Long.parseLong(query.get("After")),
                    Long.parseLong(query.get("WaitMs")),
                    socket);
            case "kv-txn" -> transact(Json.object(request.text()));
            case "kv-lease" -> grant(((Number) Json.object(request.text()).get("TtlMs")).longValue());
            case "kv-keep" -> keep(Long.parseLong(target[0].split("/")[3]));
            case "kv-lease-end" -> end(Long.parseLong(target[0].split("/")[3]));
            default -> new Answer(404, "{}");
        };
    }

    private synchronized Answer key(String key) {
        Map<String, Object> item = items.get(key);
        if (item == null) {
            return new Answer(404, "{}");
        }
        Map<String, Object> body = new LinkedHashMap<>(item);
        body.put("At", revision);
        return new Answer(200, Json.write(body));
    }

    private synchronized Answer range(String prefix, String after) {
        List<Object> found = new ArrayList<>();
        items.tailMap(after, false).forEach((key, item) -> {
            if (key.startsWith(prefix)) {
                found.add(item);
            }
        });
        return new Answer(200, Json.write(Json.of("Items", found, "Truncated", false, "At", revision)));
    }

    private synchronized Answer watch(String prefix, long after, long waitMillis, Socket socket) {
        long end = Threads.nowMillis() + waitMillis;
        waiting.put(socket, Threads.nowMillis());
        List<Map<String, Object>> events = eventsAfter(prefix, after);
        while (events.isEmpty() && Threads.nowMillis() < end && !socket.isClosed()) {
            try {
                wait(Math.max(1, end - Threads.nowMillis()));
            } catch (InterruptedException interrupted) {
                break;
            }
            events = eventsAfter(prefix, after);
        }
        waiting.remove(socket);
        return new Answer(200, Json.write(Json.of("events", events, "At", revision)));
    }

    private List<Map<String, Object>> eventsAfter(String prefix, long after) {
        return history.stream()
                .filter(each -> (long) each.get("Revision") > after && ((String) each.get("Key")).startsWith(prefix))
                .toList();
    }

    @SuppressWarnings("unchecked")
    private synchronized Answer transact(Map<String, Object> body) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object each : (List<Object>) body.getOrDefault("ExpectedRevision", List.of())) {
            Map<String, Object> row = (Map<String, Object>) each;
            Map<String, Object> item = items.get((String) row.get("Key"));
            long known = item == null ? 0 : (long) item.get("Revision");
            holds &= known == ((Number) row.get("Revision")).longValue();
            if (item != null) {
                current.add(item);
            }
        }
        if (!holds) {
            return new Answer(412, Json.write(Json.of("Items", current)));
        }
        List<Object> puts = (List<Object>) body.getOrDefault("Puts", List.of());
        for (Object each : puts) {
            Object lease = ((Map<String, Object>) each).getOrDefault("Lease", 0L);
            if (((Number) lease).longValue() != 0 && !leases.containsKey(((Number) lease).longValue())) {
                return new Answer(404, "{}");
            }
        }
        for (Object each : puts) {
            Map<String, Object> put = (Map<String, Object>) each;
            set(
                    (String) put.get("Key"),
                    (String) put.get("Value"),
                    ((Number) put.getOrDefault("Lease", 0L)).longValue());
        }
        for (Object each : (List<Object>) body.getOrDefault("Remove", List.of())) {
            drop((String) each);
        }
        return new Answer(200, Json.write(Json.of("Revision", revision)));
    }

    private synchronized Answer grant(long ttlMillis) {
        leases.put(++lastLease, new long[] {ttlMillis, Threads.nowMillis() + ttlMillis});
        return new Answer(200, Json.write(Json.of("Lease", lastLease, "TtlMs", ttlMillis)));
    }

    private synchronized Answer keep(long lease) {
        long[] known = leases.get(lease);
        if (known == null) {
            return new Answer(404, "{}");
        }
        known[1] = Threads.nowMillis() + known[0];
        return new Answer(200, Json.write(Json.of("TtlMs", known[0])));
    }

    private synchronized Answer end(long lease) {
        if (leases.remove(lease) == null) {
            return new Answer(404, "{}");
        }
        dropKeysOf(lease);
        return new Answer(200, "{}");
    }

    private void expireLeases() throws InterruptedException {
        while (!closed) {
            synchronized (this) {
                long now = Threads.nowMillis();
                for (Long each : List.copyOf(leases.keySet())) {
                    if (leases.get(each)[1] < now) {
                        leases.remove(each);
                        dropKeysOf(each);
                    }
                }
            }
            Thread.sleep(50);
        }
    }

    private void dropKeysOf(long lease) {
        List.copyOf(items.values()).stream()
                .filter(each -> (long) each.get("Lease") == lease)
                .forEach(each -> drop((String) each.get("Key")));
    }

    private void set(String key, String value, long lease) {
        revision++;
        Map<String, Object> before = items.get(key);
        Object created = before == null ? revision : before.get("Created");
        Map<String, Object> item =
                Json.of("Key", key, "Value", value, "Revision", revision, "Created", created, "Lease", lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    private void drop(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(Json.of("Key", key, "Revision", revision, "Tombstone", true));
            notifyAll();
        }
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public synchronized void close() {
        closed = true;
        Threads.closeQuietly(listener);
        connections.forEach(Threads::closeQuietly);
        notifyAll();
    }
}
