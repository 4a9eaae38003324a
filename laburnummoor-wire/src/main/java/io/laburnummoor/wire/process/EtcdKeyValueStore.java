package io.laburnummoor.wire.process;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.KeyValueStore;
import org.jspecify.annotations.Nullable;

/**
 * The platform's key-value service by the JSON gateway of the etcd v3 interface.
 *
 * <p>A key's version is its {@code mod_revision}. A watch is a streaming request that ends with the first
 * event or at the timeout.
 */
public final class EtcdKeyValueStore implements KeyValueStore {
    private final JsonHttp http;
    private final URI baseAddress;

    /** Creates an adapter for the service at an address such as {@code http://127.0.0.1:2379}. */
    public EtcdKeyValueStore(JsonHttp http, URI baseAddress) {
        this.http = http;
        this.baseAddress = baseAddress;
    }

    @Override
    public @Nullable VersionedValue get(String key) {
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("key", encode(key));
        JsonNode first = post("/v3/kv/range", body).path("kvs").path(0);
        if (first.isMissingNode()) {
            return null;
        }
        return new VersionedValue(
                decode(first.path("value").asText()), first.path("mod_revision").asLong());
    }

    @Override
    public long compareAndSwap(String key, long expectedVersion, String value, long leaseId) {
        ObjectNode put = JsonNodeFactory.instance.objectNode();
        put.put("key", encode(key)).put("value", encode(value));
        if (leaseId != NO_LEASE) {
            put.put("lease", Long.toString(leaseId));
        }
        JsonNode reply = transaction(key, expectedVersion, "request_put", put);
        return reply.path("succeeded").asBoolean()
                ? reply.path("header").path("revision").asLong()
                : ABSENT;
    }

    @Override
    public boolean delete(String key, long expectedVersion) {
        ObjectNode range = JsonNodeFactory.instance.objectNode().put("key", encode(key));
        return transaction(key, expectedVersion, "request_delete_range", range)
                .path("succeeded")
                .asBoolean();
    }

    @Override
    public long grantLease(long timeToLiveSeconds) {
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("TTL", Long.toString(timeToLiveSeconds));
        return post("/v3/lease/grant", body).path("ID").asLong();
    }

    @Override
    public boolean keepLeaseAlive(long leaseId) {
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("ID", Long.toString(leaseId));
        return post("/v3/lease/keepalive", body).path("result").path("TTL").asLong() > 0;
    }

    @Override
    public @Nullable VersionedValue watch(String key, long knownVersion, long timeoutMillis) {
        ObjectNode create = JsonNodeFactory.instance.objectNode();
        create.putObject("create_request")
                .put("key", encode(key))
                .put("start_revision", Long.toString(knownVersion + 1))
                .put("progress_notify", true);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        WatchEnd end;
        try {
            end = http.postStreaming(baseAddress.resolve("/v3/watch"), create, (int) timeoutMillis, document -> {
                WatchEnd found = readWatch(document.path("result"));
                return found == null && System.nanoTime() >= deadlineNanos ? WatchEnd.UNCHANGED : found;
            });
        } catch (IOException cause) {
            throw unavailable(cause);
        }
        if (end != null && end.mustRead) {
            VersionedValue value = get(key);
            return value == null || value.version() == knownVersion ? null : value;
        }
        return end == null ? null : end.value;
    }

    /** Returns null for a message without an event: the confirmation of the watch or a sign of progress. */
    private static @Nullable WatchEnd readWatch(JsonNode result) {
        JsonNode events = result.path("events");
        if (!events.isEmpty()) {
            JsonNode last = events.get(events.size() - 1);
            JsonNode pair = last.path("kv");
            return last.path("type").asText().equals("DELETE")
                    ? WatchEnd.UNCHANGED
                    : new WatchEnd(
                            new VersionedValue(
                                    decode(pair.path("value").asText()),
                                    pair.path("mod_revision").asLong()),
                            false);
        }
        // The service cancels a watch whose first revision it has compacted away; the value is then read directly.
        return result.path("canceled").asBoolean() ? new WatchEnd(null, true) : null;
    }

    private JsonNode transaction(String key, long expectedVersion, String operation, ObjectNode operand) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.putArray("compare")
                .addObject()
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("key", encode(key))
                .put("mod_revision", Long.toString(expectedVersion));
        body.putArray("success").addObject().set(operation, operand);
        return post("/v3/kv/txn", body);
    }

    private JsonNode post(String path, ObjectNode body) {
        try {
            return http.post(baseAddress.resolve(path), body);
        } catch (IOException cause) {
            throw unavailable(cause);
        }
    }

    private static LaburnummoorException unavailable(IOException cause) {
        return new LaburnummoorException(
                ErrorCode.STORE_UNAVAILABLE, "key-value service did not answer: " + cause.getMessage(), cause);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }

    private record WatchEnd(@Nullable VersionedValue value, boolean mustRead) {
        static final WatchEnd UNCHANGED = new WatchEnd(null, false);
    }
}
