package io.laburnummoor.bench.request;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/** A caller of the streamed interface: makes one request at a time and hands each event to a handler. */
public final class StreamClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int STATUS_OK = 200;

    private final HttpClient http;
    private final String key;
    private final @Nullable String caller;

    /** Creates a caller that presents the given key. */
    public StreamClient(HttpClient http, String key) {
        this(http, key, null);
    }

    /** Creates a caller that presents the given key and its own name inside the organisation. */
    public StreamClient(HttpClient http, String key, @Nullable String caller) {
        this.http = http;
        this.key = key;
        this.caller = caller;
    }

    /**
     * Makes a request and reads its events until the stream ends.
     *
     * @param router address of a router
     * @param body JSON body
     * @param idempotencyKey key, or null for none
     * @param lastEventId id of the last event received before, or null
     * @return how the stream ended
     */
    public StreamEnd run(
            URI router,
            JsonNode body,
            @Nullable String idempotencyKey,
            @Nullable String lastEventId,
            EventHandler handler)
            throws InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(router.resolve("/v1/completions"))
                .timeout(Duration.ofMinutes(5))
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body.toString()));
        if (caller != null) {
            request.header("X-Caller-Id", caller);
        }
        if (idempotencyKey != null) {
            request.header("Idempotency-Key", idempotencyKey);
        }
        if (lastEventId != null) {
            request.header("Last-Event-ID", lastEventId);
        }
        try {
            HttpResponse<InputStream> response = http.send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
            if (response.statusCode() != STATUS_OK) {
                JsonNode problem = MAPPER.readTree(response.body());
                return new StreamEnd(problem.path("code").asText("status_" + response.statusCode()), false);
            }
            return readEvents(response.body(), handler);
        } catch (IOException broken) {
            return new StreamEnd("connection_lost", false);
        }
    }

    private static StreamEnd readEvents(InputStream stream, EventHandler handler) throws IOException {
        String id = "";
        String name = "";
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (line.startsWith("id:")) {
                    id = line.substring(3).trim();
                } else if (line.startsWith("event:")) {
                    name = line.substring(6).trim();
                } else if (line.startsWith("data:")) {
                    JsonNode data = MAPPER.readTree(line.substring(5));
                    if (name.equals("done")) {
                        return new StreamEnd(data.path("finish_reason").asText(), true);
                    }
                    if (name.equals("error")) {
                        return new StreamEnd(data.path("code").asText(), false);
                    }
                    handler.onToken(
                            id,
                            data.path("offset").asInt(),
                            data.path("token_id").asInt(),
                            data.path("text").asText());
                }
            }
        }
        return new StreamEnd("connection_lost", false);
    }

    /** Receives the tokens of a stream. */
    public interface EventHandler {
        /** Handles one token. */
        void onToken(String eventId, int offset, int tokenId, String text);
    }

    /**
     * How a stream ended.
     *
     * @param reason finish reason, error code or {@code connection_lost}
     * @param complete whether the answer is complete
     */
    public record StreamEnd(String reason, boolean complete) {}
}
