package io.laburnummoor.gateway.version;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.process.ChangeFeed;
import org.jspecify.annotations.Nullable;

/** The message with which a router that reads the store passes its changes on to another router. */
public final class RelayedChanges {
    /** Path of the request; the query gives the store version that the other router knows. */
    public static final String PATH = "/changes?after=";

    private RelayedChanges() {}

    /** Returns the store version in a request target, or -1 if it is not a request for changes. */
    public static long versionOf(String target) {
        String version = target.startsWith(PATH) ? target.substring(PATH.length()) : "";
        return version.matches("[0-9]{1,18}") ? Long.parseLong(version) : -1;
    }

    /**
     * Encodes a response.
     *
     * @param ageMillis time since the batch was known to be current
     */
    public static byte[] encode(ChangeFeed.Batch batch, long ageMillis) {
        ObjectNode message = JsonNodeFactory.instance.objectNode();
        message.put("version", batch.version());
        message.put("age_ms", ageMillis);
        ArrayNode changes = message.putArray("changes");
        for (ChangeFeed.Change each : batch.changes()) {
            ObjectNode change = changes.addObject();
            change.put("key", each.key());
            change.put("version", each.version());
            if (each.value() != null) {
                change.put("value", each.value());
            }
        }
        return message.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a response, or returns null if it is malformed. */
    static ChangeFeed.@Nullable Batch decode(JsonNode message) {
        long ageMillis = message.path("age_ms").asLong(-1);
        if (ageMillis < 0 || !message.path("version").isIntegralNumber()) {
            return null;
        }
        List<ChangeFeed.Change> changes = new ArrayList<>();
        for (JsonNode each : message.path("changes")) {
            if (!each.path("key").isTextual() || !each.path("version").isIntegralNumber()) {
                return null;
            }
            changes.add(new ChangeFeed.Change(
                    each.path("key").asText(),
                    each.path("value").isTextual() ? each.path("value").asText() : null,
                    each.path("version").asLong()));
        }
        // An age of zero would look like a batch that was read from the store.
        return new ChangeFeed.Batch(changes, message.path("version").asLong(), -Math.max(1, ageMillis));
    }
}
