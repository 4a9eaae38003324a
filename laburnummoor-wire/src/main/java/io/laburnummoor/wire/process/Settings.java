package io.laburnummoor.wire.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;

/**
 * Reads one TOML file, checks each field and reports all faults at once.
 *
 * <pre>{@code
 * Settings settings = Settings.read(path);
 * int port = settings.integer("http_port", 1, 65535);
 * settings.throwIfFaulty();
 * }</pre>
 */
public final class Settings {
    private final String source;
    private final JsonNode root;
    private final String keyPrefix;
    private final Set<String> knownKeys = new TreeSet<>();
    private final List<String> faults;
    private final List<Settings> tables = new ArrayList<>();

    private Settings(String source, JsonNode root) {
        this(source, root, "", new ArrayList<>());
    }

    private Settings(String source, JsonNode root, String keyPrefix, List<String> faults) {
        this.source = source;
        this.root = root;
        this.keyPrefix = keyPrefix;
        this.faults = faults;
    }

    /**
     * Reads a file.
     *
     * @throws LaburnummoorException with code {@code invalid_settings} if it cannot be read or is not TOML
     */
    public static Settings read(Path file) {
        try {
            return new Settings(file.toString(), new TomlMapper().readTree(file.toFile()));
        } catch (IOException cause) {
            throw new LaburnummoorException(
                    ErrorCode.INVALID_SETTINGS, "cannot read " + file + ": " + cause.getMessage(), cause);
        }
    }

    /** Parses a text, which the messages name as the given source. */
    public static Settings parse(String source, String toml) {
        try {
            return new Settings(source, new TomlMapper().readTree(toml));
        } catch (IOException cause) {
            throw new LaburnummoorException(
                    ErrorCode.INVALID_SETTINGS, source + " is not TOML: " + cause.getMessage(), cause);
        }
    }

    /** Returns a view of a table that was read elsewhere; the messages name its fields with the given prefix. */
    public static Settings table(String source, JsonNode table, String keyPrefix) {
        return new Settings(source, table, keyPrefix, new ArrayList<>());
    }

    /** Returns a required non-empty text. */
    public String text(String key) {
        return text(key, value -> !value.isBlank(), "must be a non-empty text");
    }

    /** Returns a required text that satisfies a rule. */
    public String text(String key, Predicate<String> rule, String reason) {
        JsonNode node = find(key);
        if (!node.isTextual() || !rule.test(node.asText())) {
            return fault(key, reason, "");
        }
        return node.asText();
    }

    /** Returns an optional text. */
    public String textOr(String key, String defaultValue) {
        return find(key).isMissingNode() ? defaultValue : text(key);
    }

    /** Returns a required whole number within bounds. */
    public int integer(String key, int min, int max) {
        JsonNode node = find(key);
        if (!node.isIntegralNumber() || node.longValue() < min || node.longValue() > max) {
            return fault(key, "must be a whole number from " + min + " to " + max, min);
        }
        return node.intValue();
    }

    /** Returns an optional whole number within bounds. */
    public int integerOr(String key, int defaultValue, int min, int max) {
        return find(key).isMissingNode() ? defaultValue : integer(key, min, max);
    }

    /** Returns a required number within bounds. */
    public double number(String key, double min, double max) {
        JsonNode node = find(key);
        if (!node.isNumber() || !(node.doubleValue() >= min) || !(node.doubleValue() <= max)) {
            return fault(key, "must be a number from " + min + " to " + max, min);
        }
        return node.doubleValue();
    }

    /** Returns a required truth value. */
    public boolean flag(String key) {
        JsonNode node = find(key);
        return node.isBoolean() ? node.booleanValue() : fault(key, "must be true or false", false);
    }

    /** Returns a required table; its faults are reported together with these. */
    public Settings table(String key) {
        JsonNode node = find(key);
        if (!node.isObject()) {
            addFault(key, "must be a table");
        }
        Settings found = new Settings(source, node, keyPrefix + key + ".", faults);
        tables.add(found);
        return found;
    }

    /** Returns an optional list of texts. */
    public List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        JsonNode node = find(key);
        if (!node.isMissingNode() && !node.isArray()) {
            return fault(key, "must be a list of texts", texts);
        }
        for (JsonNode each : node) {
            texts.add(each.isTextual() ? each.asText() : fault(key, "must hold texts only", ""));
        }
        return texts;
    }

    /** Returns the tables of an optional array of tables; their faults are reported together with these. */
    public List<Settings> tables(String key) {
        List<Settings> found = new ArrayList<>();
        JsonNode node = find(key);
        if (!node.isMissingNode() && !node.isArray()) {
            return fault(key, "must be an array of tables", found);
        }
        for (int i = 0; i < node.size(); i++) {
            found.add(new Settings(source, node.get(i), keyPrefix + key + "[" + i + "].", faults));
        }
        tables.addAll(found);
        return found;
    }

    /** Adds a fault that the caller found. */
    public void addFault(String key, String reason) {
        faults.add(keyPrefix + key + ": " + reason);
    }

    /**
     * Throws an exception that lists all faults, unknown keys among them.
     *
     * @throws LaburnummoorException with code {@code invalid_settings} if there are any
     */
    public void throwIfFaulty() {
        addUnknownKeys();
        if (!faults.isEmpty()) {
            throw new LaburnummoorException(
                    ErrorCode.INVALID_SETTINGS, source + " has faults: " + String.join("; ", faults));
        }
    }

    /** Returns the faults found up to now. */
    public List<String> faults() {
        return List.copyOf(faults);
    }

    /** Returns the keys that were present but not asked for. */
    public List<String> unknownKeys() {
        List<String> unknown = new ArrayList<>();
        root.fieldNames().forEachRemaining(key -> {
            if (!knownKeys.contains(key)) {
                unknown.add(keyPrefix + key);
            }
        });
        tables.forEach(table -> unknown.addAll(table.unknownKeys()));
        return unknown;
    }

    private void addUnknownKeys() {
        unknownKeys().forEach(key -> faults.add(key + ": unknown key"));
    }

    private JsonNode find(String key) {
        knownKeys.add(key);
        return root.path(key);
    }

    private <T> T fault(String key, String reason, T placeholder) {
        addFault(key, reason);
        return placeholder;
    }
}
