package io.laburnummoor.wire.version;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.version.ConfigDelta;
import io.laburnummoor.core.version.ConfigEntry;
import io.laburnummoor.core.version.ConfigSet;
import io.laburnummoor.core.version.ConfigState;
import io.laburnummoor.core.version.ConfigTextCodec;
import io.laburnummoor.wire.process.Settings;

/**
 * Encodes configuration as JSON. An entry is stored as the table that its operator wrote, with the version of its
 * format, so fields that this process does not understand are kept.
 */
public final class ConfigCodec implements ConfigTextCodec {
    /** Versions of the declarations' format that this process reads. */
    public static final List<Integer> SCHEMA_VERSIONS =
            DeclarationSchema.ALL.stream().map(DeclarationSchema::version).toList();

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Override
    public String encodeDelta(ConfigDelta delta) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("revision", delta.revision())
                .put("operation_id", delta.operationId())
                .put("digest", delta.digest());
        addEntries(root.putArray("changed"), delta.changed());
        ArrayNode removed = root.putArray("removed");
        delta.removedKeys().forEach(removed::add);
        return root.toString();
    }

    @Override
    public ConfigDelta decodeDelta(String text) {
        JsonNode root = parse(text);
        List<String> removed = new ArrayList<>();
        root.path("removed").forEach(key -> removed.add(key.asText()));
        return new ConfigDelta(
                root.path("revision").asLong(),
                root.path("operation_id").asText(),
                root.path("digest").asText(),
                readEntries(root.path("changed")),
                removed);
    }

    @Override
    public String encodeState(ConfigState state) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("revision", state.revision()).put("operation_id", state.operationId());
        addEntries(root.putArray("entries"), state.entries().values());
        return root.toString();
    }

    @Override
    public ConfigState decodeState(String text) {
        JsonNode root = parse(text);
        return ConfigState.of(
                root.path("revision").asLong(), root.path("operation_id").asText(), readEntries(root.path("entries")));
    }

    /**
     * Returns the entry of a key and its stored text.
     *
     * @throws LaburnummoorException with code {@code unreadable_format} if this process does not know the format
     */
    public ConfigEntry decodeEntry(String key, String text) {
        JsonNode node = parse(text);
        int version = node.path("schema_version").asInt();
        DeclarationSchema schema = DeclarationSchema.find(version);
        int slash = key.indexOf('/');
        String kind = slash < 0 ? key : key.substring(0, slash);
        if (schema == null || !DeclarationTables.READERS.containsKey(kind)) {
            throw new LaburnummoorException(
                    ErrorCode.UNREADABLE_FORMAT,
                    "declaration " + key + " has schema version " + version + ", this process reads "
                            + SCHEMA_VERSIONS);
        }
        Settings table = Settings.table(key, node, "");
        ConfigEntry entry = entry(schema, kind, table, node);
        if (!table.faults().isEmpty()) {
            throw new LaburnummoorException(
                    ErrorCode.UNREADABLE_FORMAT,
                    "declaration " + key + " has faults: " + String.join("; ", table.faults()));
        }
        return new ConfigEntry(key, text, version, entry.declaration());
    }

    /** Returns the entries of declarations that were made in code, in version 1 of the format. */
    public List<ConfigEntry> entries(ConfigSet set) {
        List<ConfigEntry> entries = new ArrayList<>();
        set.services().forEach(service -> {
            ObjectNode node = table().put("name", service.name())
                    .put("kind", service.kind().name().toLowerCase(Locale.ROOT));
            if (!service.activeVersion().isEmpty()) {
                node.put("active_version", service.activeVersion());
            }
            service.idempotentRoutes().forEach(node.putArray("idempotent_routes")::add);
            entries.add(decodeEntry(DeclarationTables.key(service), node.toString()));
        });
        set.organisations().forEach(organisation -> {
            ObjectNode node = table().put("name", organisation.name());
            organisation.keySha256s().forEach(node.putArray("key_sha256s")::add);
            node.put("max_concurrent", organisation.maxConcurrent());
            node.put("tokens_per_second", organisation.tokensPerSecond());
            entries.add(decodeEntry(DeclarationTables.key(organisation), node.toString()));
        });
        set.versions().forEach(version -> {
            ObjectNode node = table().put("service", version.service()).put("version", version.version());
            node.put("enforces_fencing", version.enforcesFencing());
            node.put("checks_sender", version.checksSender());
            version.adapters().forEach(node.putArray("adapters")::add);
            entries.add(decodeEntry(DeclarationTables.key(version), node.toString()));
        });
        set.rollouts().forEach(rollout -> {
            ObjectNode node = table().put("name", rollout.name()).put("service", rollout.service());
            node.put("from", rollout.fromVersion()).put("to", rollout.toVersion());
            node.put(
                    "complete_by",
                    Instant.ofEpochMilli(rollout.completeByMillis()).toString());
            rollout.routes().forEach(node.putArray("routes")::add);
            node.put("max_error_rate_increase", rollout.maxErrorRateIncrease());
            node.put("max_slowdown_ratio", rollout.maxSlowdownRatio());
            entries.add(decodeEntry(DeclarationTables.key(rollout), node.toString()));
        });
        return entries;
    }

    static ConfigEntry entry(DeclarationSchema schema, String kind, Settings table, JsonNode node) {
        Object declaration = DeclarationTables.read(kind, schema, table);
        ObjectNode stored = MAPPER.createObjectNode().put("schema_version", schema.version());
        if (node instanceof ObjectNode fields) {
            stored.setAll(fields);
        }
        return new ConfigEntry(DeclarationTables.key(declaration), stored.toString(), schema.version(), declaration);
    }

    private static ObjectNode table() {
        return JsonNodeFactory.instance.objectNode().put("schema_version", 1);
    }

    private static void addEntries(ArrayNode array, Collection<ConfigEntry> entries) {
        for (ConfigEntry entry : entries) {
            array.addObject().put("key", entry.key()).put("text", entry.text());
        }
    }

    private List<ConfigEntry> readEntries(JsonNode array) {
        List<ConfigEntry> entries = new ArrayList<>();
        for (JsonNode node : array) {
            entries.add(decodeEntry(node.path("key").asText(), node.path("text").asText()));
        }
        return entries;
    }

    private static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException cause) {
            throw new LaburnummoorException(
                    ErrorCode.UNREADABLE_FORMAT, "configuration record is not JSON: " + cause.getMessage(), cause);
        }
    }
}
