package io.laburnummoor.bench.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.connection.Upstream;
import org.jspecify.annotations.Nullable;

/**
 * A stand-in for the platform: the key-value service by the etcd v3 JSON gateway (range, transactions with one
 * comparison of a modification revision, leases, watches of one key) and the list of VMs. It
 * can be down or slow and can lose answers after the
 * write.
 */
public final class PlatformStandIn extends HttpStandIn {
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long PROGRESS_INTERVAL_MILLIS = 1_000;

    private final Map<String, Record> records = new HashMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Upstream> vms = new CopyOnWriteArrayList<>();
    private final List<RouterPeer> routers = new CopyOnWriteArrayList<>();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final AtomicLong readCount = new AtomicLong();
    private final AtomicLong writeCount = new AtomicLong();
    private volatile boolean down;
    private volatile long delayMillis;
    private long revision = 1;
    private long nextLeaseId = 1;

    /** Creates a platform; port 0 takes a free port. */
    public PlatformStandIn(String host, int port) {
        super(host, port);
        route("/v3/kv/range", exchange -> answer(exchange, this::range, readCount));
        route("/v3/kv/txn", exchange -> answer(exchange, this::transact, writeCount));
        route("/v3/lease/grant", exchange -> answer(exchange, this::grantLease, writeCount));
        route("/v3/lease/keepalive", exchange -> answer(exchange, this::keepLeaseAlive, writeCount));
        route("/v3/watch", this::watch);
        route("/vms", this::handleVms);
    }

    /** Starts or ends an outage of the key-value service. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Delays each answer of the key-value service by the given time. */
    public void setDelayMillis(long millis) {
        delayMillis = millis;
    }

    /** Loses the answers to the next writes after they have taken effect. */
    public void loseAnswers(int count) {
        answersToLose.set(count);
    }

    /** Replaces the list of VMs. */
    public void setVms(List<Upstream> upstreams) {
        vms.clear();
        vms.addAll(upstreams);
    }

    /** Replaces the routers on the list of VMs. */
    public void setRouters(List<RouterPeer> peers) {
        routers.clear();
        routers.addAll(peers);
    }

    /** Returns the number of calls counted as reads. */
    public long readCount() {
        return readCount.get();
    }

    /** Returns the number of calls counted as writes. */
    public long writeCount() {
        return writeCount.get();
    }

    private void answer(HttpExchange exchange, Operation operation, AtomicLong counter) throws IOException {
        JsonNode request = readJson(exchange);
        delay();
        if (down) {
            writeJson(exchange, STATUS_UNAVAILABLE, MAPPER.createObjectNode().put("error", "unavailable"));
            return;
        }
        counter.incrementAndGet();
        ObjectNode reply;
        synchronized (this) {
            dropLapsedLeases();
            reply = operation.apply(request);
        }
        if (counter == writeCount && answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            writeJson(exchange, STATUS_UNAVAILABLE, MAPPER.createObjectNode().put("error", "answer lost"));
            return;
        }
        writeJson(exchange, STATUS_OK, reply);
    }

    private ObjectNode range(JsonNode request) {
        ObjectNode reply = header();
        Record record = records.get(request.path("key").asText());
        if (record != null) {
            reply.putArray("kvs")
                    .addObject()
                    .put("key", request.path("key").asText())
                    .put("value", record.value)
                    .put("mod_revision", Long.toString(record.modRevision));
        }
        return reply;
    }

    private ObjectNode transact(JsonNode request) {
        JsonNode compare = request.path("compare").path(0);
        Record record = records.get(compare.path("key").asText());
        long modRevision = record == null ? 0 : record.modRevision;
        boolean succeeded = modRevision == compare.path("mod_revision").asLong();
        if (succeeded) {
            JsonNode operation = request.path("success").path(0);
            revision++;
            put(operation.path("request_put"));
            records.remove(operation.path("request_delete_range").path("key").asText());
            notifyAll();
        }
        return header().put("succeeded", succeeded);
    }

    /**
     * A watch: a stream of JSON documents that starts with a confirmation and goes on with events from the asked
     * revision onwards and signs of progress. Of several changes of the key the stand-in reports the last one only.
     */
    private void watch(HttpExchange exchange) throws IOException {
        JsonNode create = readJson(exchange).path("create_request");
        delay();
        if (down) {
            writeJson(exchange, STATUS_UNAVAILABLE, MAPPER.createObjectNode().put("error", "unavailable"));
            return;
        }
        readCount.incrementAndGet();
        String key = create.path("key").asText();
        long startRevision = create.path("start_revision").asLong();
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(STATUS_OK, 0);
        writeDocument(exchange, header().put("created", true));
        while (!down) {
            Record record = awaitChange(key, startRevision);
            ObjectNode result = header();
            if (record != null) {
                startRevision = record.modRevision + 1;
                result.putArray("events")
                        .addObject()
                        .putObject("kv")
                        .put("key", key)
                        .put("value", record.value)
                        .put("mod_revision", Long.toString(record.modRevision));
                delay();
            }
            // A write to a connection that the watcher has closed fails, which ends this loop.
            writeDocument(exchange, result);
        }
    }

    private synchronized @Nullable Record awaitChange(String key, long startRevision) throws IOException {
        long deadlineMillis = System.currentTimeMillis() + PROGRESS_INTERVAL_MILLIS;
        while (true) {
            Record record = records.get(key);
            if (record != null && record.modRevision >= startRevision) {
                return record;
            }
            long leftMillis = deadlineMillis - System.currentTimeMillis();
            if (leftMillis <= 0) {
                return null;
            }
            try {
                wait(leftMillis);
            } catch (InterruptedException stopped) {
                throw new IOException("the platform is stopping", stopped);
            }
        }
    }

    private static void writeDocument(HttpExchange exchange, ObjectNode result) throws IOException {
        ObjectNode document = MAPPER.createObjectNode();
        document.set("result", result);
        exchange.getResponseBody().write((document + "\n").getBytes(StandardCharsets.UTF_8));
        exchange.getResponseBody().flush();
    }

    private void delay() throws IOException {
        try {
            Thread.sleep(delayMillis);
        } catch (InterruptedException stopped) {
            throw new IOException("the platform is stopping", stopped);
        }
    }

    private void put(JsonNode put) {
        if (!put.isMissingNode()) {
            records.put(
                    put.path("key").asText(),
                    new Record(
                            put.path("value").asText(),
                            revision,
                            put.path("lease").asLong()));
        }
    }

    private ObjectNode grantLease(JsonNode request) {
        long id = nextLeaseId++;
        leases.put(id, new Lease(request.path("TTL").asLong()));
        return header().put("ID", Long.toString(id))
                .put("TTL", request.path("TTL").asText());
    }

    private ObjectNode keepLeaseAlive(JsonNode request) {
        Lease lease = leases.get(request.path("ID").asLong());
        ObjectNode reply = MAPPER.createObjectNode();
        if (lease != null) {
            lease.renew();
        }
        reply.putObject("result").put("TTL", Long.toString(lease == null ? 0 : lease.timeToLiveSeconds));
        return reply;
    }

    private void dropLapsedLeases() {
        long nowMillis = System.currentTimeMillis();
        leases.values().removeIf(lease -> lease.deadlineMillis <= nowMillis);
        records.values().removeIf(record -> record.leaseId != 0 && !leases.containsKey(record.leaseId));
    }

    private void handleVms(HttpExchange exchange) throws IOException {
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode list = body.putArray("vms");
        for (Upstream vm : vms) {
            list.addObject()
                    .put("id", vm.id())
                    .put("service", vm.service())
                    .put("failure_domain", vm.failureDomain())
                    .put("host", vm.host())
                    .put("port", vm.port())
                    .put("agent_port", vm.agentPort())
                    .put("leaving", vm.leaving());
        }
        ArrayNode routerList = body.putArray("routers");
        for (RouterPeer router : routers) {
            routerList
                    .addObject()
                    .put("name", router.name())
                    .put("failure_domain", router.failureDomain())
                    .put("host", router.host())
                    .put("peer_port", router.peerPort());
        }
        writeJson(exchange, STATUS_OK, body);
    }

    private ObjectNode header() {
        ObjectNode reply = MAPPER.createObjectNode();
        reply.putObject("header").put("revision", Long.toString(revision));
        return reply;
    }

    private interface Operation {
        ObjectNode apply(JsonNode request);
    }

    private record Record(String value, long modRevision, long leaseId) {}

    private static final class Lease {
        private final long timeToLiveSeconds;
        private long deadlineMillis;

        Lease(long timeToLiveSeconds) {
            this.timeToLiveSeconds = timeToLiveSeconds;
            renew();
        }

        void renew() {
            deadlineMillis = System.currentTimeMillis() + timeToLiveSeconds * MILLIS_PER_SECOND;
        }
    }
}
