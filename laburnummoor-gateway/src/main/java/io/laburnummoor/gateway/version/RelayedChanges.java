package io.laburnummoor.gateway.version;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.StoreVersion;
import io.laburnummoor.core.process.ChangeFeed;
import org.jspecify.annotations.Nullable;

/** The message with which a router that reads the store passes its changes on to another router. */
public final class RelayedChanges {
    /**
     * Path of the request; the query gives the revision that the other router knows. Its era follows unless it is 0,
     * as routers of earlier releases know none.
     */
    private static final Pattern TARGET = Pattern.compile("/changes\\?after=([0-9]{1,14})(?:&era=([0-9]{1,5}))?");

    /** Path of the request for a newer configuration; the query gives the version of the known one. */
    private static final Pattern CONFIG_TARGET = Pattern.compile("/config\\?newer_than=([0-9]{1,18})");

    private static final long NO_VERSION = -1;

    private RelayedChanges() {}

    /** Returns the request target for the changes after a store version. */
    public static String targetAfter(long version) {
        long era = StoreVersion.eraOf(version);
        return "/changes?after=" + StoreVersion.revisionOf(version) + (era == 0 ? "" : "&era=" + era);
    }

    /** Returns the store version in a request target, or -1 if it is not a request for changes. */
    public static long versionOf(String target) {
        Matcher matcher = TARGET.matcher(target);
        if (!matcher.matches()) {
            return NO_VERSION;
        }
        long era = matcher.group(2) == null ? 0 : StoreVersion.parseEra(matcher.group(2), NO_VERSION);
        return era == NO_VERSION ? NO_VERSION : StoreVersion.of(era, Long.parseLong(matcher.group(1)));
    }

    /** Returns the request target for a configuration with a higher version than the given one. */
    static String configTargetNewerThan(long configVersion) {
        return "/config?newer_than=" + Math.max(0, configVersion);
    }

    /** Returns the version of the known configuration in a request target, or -1 if it asks for something else. */
    public static long configVersionOf(String target) {
        Matcher matcher = CONFIG_TARGET.matcher(target);
        return matcher.matches() ? Long.parseLong(matcher.group(1)) : NO_VERSION;
    }

    /** Encodes an entry of the store without its version, which another router may not compare with its own. */
    public static byte[] encodeEntry(ChangeFeed.Change change) {
        ObjectNode message = JsonNodeFactory.instance.objectNode();
        message.put("key", change.key());
        message.put("value", change.value());
        return message.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes an entry as one of the given version, or returns null if it is malformed. */
    static ChangeFeed.@Nullable Change decodeEntry(JsonNode message, long version) {
        boolean complete =
                message.path("key").isTextual() && message.path("value").isTextual();
        return complete
                ? new ChangeFeed.Change(
                        message.path("key").asText(), message.path("value").asText(), version)
                : null;
    }

    /**
     * Encodes a response.
     *
     * @param ageMillis time since the batch was known to be current
     */
    public static byte[] encode(ChangeFeed.Batch batch, long ageMillis) {
        ObjectNode message = JsonNodeFactory.instance.objectNode();
        message.put("era", StoreVersion.eraOf(batch.version()));
        message.put("version", StoreVersion.revisionOf(batch.version()));
        message.put("age_ms", ageMillis);
        ArrayNode changes = message.putArray("changes");
        for (ChangeFeed.Change each : batch.changes()) {
            ObjectNode change = changes.addObject();
            change.put("key", each.key());
            change.put("version", StoreVersion.revisionOf(each.version()));
            if (each.value() != null) {
                change.put("value", each.value());
            }
        }
        return message.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a response, or returns null if it is malformed or states another era of the store. */
    static ChangeFeed.@Nullable Batch decode(JsonNode message, long era) {
        long ageMillis = message.path("age_ms").asLong(-1);
        JsonNode stated = message.path("era");
        boolean sameEra = stated.isMissingNode() ? era == 0 : stated.isIntegralNumber() && stated.asLong() == era;
        if (ageMillis < 0 || !message.path("version").isIntegralNumber() || !sameEra) {
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
                    StoreVersion.of(era, each.path("version").asLong())));
        }
        // An age of zero would look like a batch that was read from the store.
        long version = StoreVersion.of(era, message.path("version").asLong());
        return new ChangeFeed.Batch(changes, version, -Math.max(1, ageMillis));
    }
}
