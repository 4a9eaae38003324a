package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in for the platform's store as PROTOCOL.md describes it: items, watches, conditional writes, leases. */
final class Store implements AutoCloseable {
    private static final int MAX_ITEMS = 500;
    private static final int MAX_BYTES = 1 << 20;
    /** HistoryS of the small sites. */
    private static final long HISTORY_NANOS = 20_000_000_000L;

    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool(run -> {
        Thread thread = new Thread(run, "store");
        thread.setDaemon(true);
        return thread;
    });
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final Deque<Event> events = new ArrayDeque<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 100;
    private long forgottenRevision = 100;
    private long nextLease = 7_000;
    private boolean closed;
    private volatile boolean turningAway;

    private record Event(long revision, long nanos, Map<String, Object> json) {}

    private record Reply(int status, Map<String, Object> body) {}

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        server.setExecutor(executor);
        server.createContext("/", this::serve);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** The store turns the machines of the system away with 503 and serves the operator. */
    void turnAway(boolean away) {
        turningAway = away;
    }

    /** A write of the operator or of an engine; returns the revision, that is, the acknowledgement. */
    synchronized long put(String key, String value) {
        return write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            add(Json.of("Key", key, "Revision", revision, "Tombstone", true));
        }
    }

    private long write(String key, String base64, long lease) {
        if (base64.length() > MAX_BYTES / 3 * 4 + 4) {
            throw new IllegalArgumentException("value is larger than ValueBytes");
        }
        revision++;
        Map<String, Object> before = items.get(key);
        Map<String, Object> item = Json.of(
                "Key", key,
                "Value", base64,
                "Revision", revision,
                "Created", before == null ? revision : before.get("Created"),
                "Lease", lease);
        items.put(key, item);
        add(item);
        return revision;
    }

    private void add(Map<String, Object> json) {
        long now = System.nanoTime();
        events.addLast(new Event(revision, now, json));
        while (now - events.peekFirst().nanos > HISTORY_NANOS) {
            forgottenRevision = events.pollFirst().revision;
        }
        notifyAll();
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = new HashMap<>();
            String text = exchange.getRequestURI().getQuery();
            for (String each : (text == null ? "" : text).split("&")) {
                int equals = each.indexOf('=');
                if (equals > 0) {
                    query.put(each.substring(0, equals), each.substring(equals + 1));
                }
            }
            Thread.sleep(4);
            if (turningAway) {
                exchange.sendResponseHeaders(503, -1);
                return;
            }
            Reply reply = answer(exchange.getRequestURI().getPath(), query, Json.object(body));
            byte[] bytes = Json.write(reply.body).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized Reply answer(String path, Map<String, String> query, Map<String, Object> body)
            throws InterruptedException {
        expire();
        String action = path.replaceFirst("^/-/", "").replaceFirst("/.*", "");
        String last = path.substring(path.lastIndexOf('/') + 1);
        return switch (action) {
            case "kv-key" -> {
                Map<String, Object> item = items.get(query.get("Key"));
                yield item == null ? new Reply(404, Json.of()) : new Reply(200, withAt(item));
            }
            case "kv-range" -> range(query.getOrDefault("Prefix", ""), query.getOrDefault("After", ""));
            case "kv-watch" -> watch(
                    query.getOrDefault("Prefix", ""),
                    Long.parseLong(query.get("After")),
                    Long.parseLong(query.get("WaitMs")));
            case "kv-txn" -> transact(body);
            case "kv-lease" -> {
                long id = ++nextLease;
                leases.put(id, new long[] {((Number) body.get("TtlMs")).longValue(), System.nanoTime()});
                yield new Reply(200, Json.of("Lease", id, "TtlMs", body.get("TtlMs")));
            }
            case "kv-keep" -> {
                long[] lease = leases.get(Long.parseLong(last));
                if (lease != null) {
                    lease[1] = System.nanoTime();
                }
                yield lease == null ? new Reply(404, Json.of()) : new Reply(200, Json.of("TtlMs", lease[0]));
            }
            default -> new Reply(404, Json.of());
        };
    }

    private Map<String, Object> withAt(Map<String, Object> item) {
        Map<String, Object> all = new java.util.LinkedHashMap<>(item);
        all.put("At", revision);
        return all;
    }

    private Reply range(String prefix, String after) {
        List<Object> list = new ArrayList<>();
        int bytes = 0;
        boolean truncated = false;
        for (Map<String, Object> each : items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
            if (!((String) each.get("Key")).startsWith(prefix)) {
                break;
            }
            if (!list.isEmpty() && (list.size() == MAX_ITEMS || bytes > MAX_BYTES)) {
                truncated = true;
                break;
            }
            bytes += ((String) each.get("Value")).length();
            list.add(each);
        }
        return new Reply(200, Json.of("Items", list, "Truncated", truncated, "At", revision));
    }

    private Reply watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            if (after < forgottenRevision) {
                return new Reply(410, Json.of());
            }
            List<Object> list = new ArrayList<>();
            for (Event each : events) {
                if (each.revision > after && ((String) each.json.get("Key")).startsWith(prefix)) {
                    list.add(each.json);
                }
            }
            long leftMillis = (end - System.nanoTime()) / 1_000_000;
            if (!list.isEmpty() || leftMillis <= 0 || closed) {
                return new Reply(200, Json.of("events", list, "At", revision));
            }
            wait(leftMillis);
        }
    }

    @SuppressWarnings("unchecked")
    private Reply transact(Map<String, Object> body) {
        for (Object row : (List<Object>) body.getOrDefault("ExpectedRevision", List.of())) {
            Map<String, Object> each = (Map<String, Object>) row;
            Map<String, Object> item = items.get(each.get("Key"));
            long known = item == null ? 0 : (Long) item.get("Revision");
            if (known != ((Number) each.get("Revision")).longValue()) {
                return new Reply(412, Json.of("Items", item == null ? List.of() : List.of(item)));
            }
        }
        for (Object row : (List<Object>) body.getOrDefault("Puts", List.of())) {
            Map<String, Object> each = (Map<String, Object>) row;
            long lease = each.get("Lease") == null ? 0 : ((Number) each.get("Lease")).longValue();
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Reply(404, Json.of());
            }
            write((String) each.get("Key"), (String) each.get("Value"), lease);
        }
        for (Object key : (List<Object>) body.getOrDefault("Remove", List.of())) {
            remove((String) key);
        }
        return new Reply(200, Json.of("Revision", revision));
    }

    private void expire() {
        long now = System.nanoTime();
        leases.values().removeIf(each -> now - each[1] > each[0] * 1_000_000);
        List<String> gone = new ArrayList<>();
        items.forEach((key, item) -> {
            long lease = ((Number) item.get("Lease")).longValue();
            if (lease != 0 && !leases.containsKey(lease)) {
                gone.add(key);
            }
        });
        gone.forEach(this::remove);
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        server.stop(0);
        executor.shutdownNow();
    }
}
