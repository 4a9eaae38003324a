package io.laburnummoor.bench.request;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/** A caller of plain services. */
public final class PlainCaller {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIME_SHIFT_BITS = 16;
    private static final long VERSION_7 = 0x7000;
    private static final long RANDOM_12_BITS = 0xFFF;
    private static final long VARIANT = 0x8000000000000000L;
    private static final long RANDOM_62_BITS = 0x3FFFFFFFFFFFFFFFL;

    private final HttpClient http;
    private final String callerKey;
    private final Duration timeout;

    /** Creates a caller that gives up a call after the timeout. */
    public PlainCaller(HttpClient http, String callerKey, Duration timeout) {
        this.http = http;
        this.callerKey = callerKey;
        this.timeout = timeout;
    }

    /** Returns a new UUIDv7 with the given issue time. */
    public static String newKey(long issuedAtMillis) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        long high = (issuedAtMillis << TIME_SHIFT_BITS) | VERSION_7 | (random.nextLong() & RANDOM_12_BITS);
        return new UUID(high, VARIANT | (random.nextLong() & RANDOM_62_BITS)).toString();
    }

    /** Makes a non-idempotent call; a lost connection gives status 0. */
    public Answer post(URI router, String path, String key, String body) throws InterruptedException {
        HttpRequest request = request(router, path)
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return send(request);
    }

    /** Makes an idempotent call; a lost connection gives status 0. */
    public Answer get(URI router, String path) throws InterruptedException {
        return send(request(router, path).GET().build());
    }

    private HttpRequest.Builder request(URI router, String path) {
        return HttpRequest.newBuilder(router.resolve(path))
                .timeout(timeout)
                .header("Authorization", "Bearer " + callerKey);
    }

    private Answer send(HttpRequest request) throws InterruptedException {
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), parse(response.body()), response);
        } catch (IOException lost) {
            return new Answer(0, JsonNodeFactory.instance.objectNode(), null);
        }
    }

    private static JsonNode parse(String body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException notJson) {
            return JsonNodeFactory.instance.objectNode().put("text", body);
        }
    }

    /**
     * Answer to one attempt.
     *
     * @param status HTTP status, 0 if the connection was lost
     * @param body parsed body
     * @param response response, null if the connection was lost
     */
    public record Answer(int status, JsonNode body, @org.jspecify.annotations.Nullable HttpResponse<String> response) {
        /** Returns the error code, empty if there is none. */
        public String code() {
            return body.path("code").asText();
        }

        /** Returns the receipt of a run, empty if there is none. */
        public String receipt() {
            return body.path("receipt").asText();
        }
    }
}
