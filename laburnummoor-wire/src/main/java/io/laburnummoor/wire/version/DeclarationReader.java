package io.laburnummoor.wire.version;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.version.ConfigEntry;
import io.laburnummoor.core.version.DeclarationValidator;
import io.laburnummoor.wire.process.Settings;
import org.jspecify.annotations.Nullable;

/**
 * Reads TOML files of declarations and collects all their faults.
 *
 * <pre>{@code
 * DeclarationReader reader = new DeclarationReader();
 * reader.read(Path.of("declarations.toml"));
 * List<String> faults = reader.faults(List.of());
 * }</pre>
 */
public final class DeclarationReader {
    private static final String SCHEMA_VERSION = "schema_version";

    private final TomlMapper mapper = new TomlMapper();
    private final Map<String, ConfigEntry> entries = new LinkedHashMap<>();
    private final Map<String, String> places = new LinkedHashMap<>();
    private final List<String> faults = new ArrayList<>();
    private final List<String> warnings = new ArrayList<>();

    /** Reads a file in addition to those read before. */
    public void read(Path file) {
        try {
            readDocument(file.toString(), mapper.readTree(file.toFile()));
        } catch (IOException cause) {
            faults.add(file + ": cannot be read: " + firstLine(cause));
        }
    }

    /** Reads a text; messages name it as the given source. */
    public void read(String source, String toml) {
        try {
            readDocument(source, mapper.readTree(toml));
        } catch (IOException cause) {
            faults.add(source + ": cannot be read: " + firstLine(cause));
        }
    }

    /** Returns the entries of all files. */
    public Collection<ConfigEntry> entries() {
        return List.copyOf(entries.values());
    }

    /** Returns fields that are not understood; they are stored as they are. */
    public List<String> warnings() {
        return List.copyOf(warnings);
    }

    /**
     * Returns all faults, each with file, key and reason.
     *
     * @param others entries that are in force besides those of the files; references to them are valid
     */
    public List<String> faults(Collection<ConfigEntry> others) {
        List<String> all = new ArrayList<>(faults);
        List<ConfigEntry> whole = new ArrayList<>(others);
        whole.addAll(entries.values());
        for (DeclarationValidator.Fault fault : DeclarationValidator.check(whole)) {
            String place = places.getOrDefault(fault.entryKey(), "in force: " + fault.entryKey());
            all.add(place + "." + fault.field() + ": " + fault.reason());
        }
        return all;
    }

    /**
     * Throws an exception that lists all faults.
     *
     * @throws LaburnummoorException with code {@code invalid_settings} if there are any
     */
    public void throwIfFaulty(Collection<ConfigEntry> others) {
        List<String> all = faults(others);
        if (!all.isEmpty()) {
            throw new LaburnummoorException(
                    ErrorCode.INVALID_SETTINGS,
                    all.size() + " faults in the declarations" + System.lineSeparator()
                            + String.join(System.lineSeparator(), all));
        }
    }

    private void readDocument(String source, JsonNode root) {
        JsonNode version = root.path(SCHEMA_VERSION);
        DeclarationSchema schema = version.isInt() ? DeclarationSchema.find(version.intValue()) : null;
        if (schema == null) {
            faults.add(source + ": " + SCHEMA_VERSION + ": must be one of " + ConfigCodec.SCHEMA_VERSIONS);
            return;
        }
        for (Iterator<String> kinds = root.fieldNames(); kinds.hasNext(); ) {
            String kind = kinds.next();
            if (!kind.equals(SCHEMA_VERSION)) {
                readKind(source, schema, kind, root.path(kind));
            }
        }
    }

    private void readKind(String source, DeclarationSchema schema, String kind, JsonNode tables) {
        if (!DeclarationTables.READERS.containsKey(kind)) {
            faults.add(source + ": " + kind + ": unknown kind of declaration, known are "
                    + String.join(", ", DeclarationTables.READERS.keySet()));
            return;
        }
        if (!tables.isArray()) {
            faults.add(source + ": " + kind + ": must be an array of tables, written [[" + kind + "]]");
            return;
        }
        for (int i = 0; i < tables.size(); i++) {
            readTable(source, schema, kind, kind + "[" + i + "]", tables.get(i));
        }
    }

    private void readTable(String source, DeclarationSchema schema, String kind, String place, JsonNode node) {
        Settings table = Settings.table(source, node, place + ".");
        ConfigEntry entry = ConfigCodec.entry(schema, kind, table, node);
        table.unknownKeys().forEach(key -> warnings.add(source + ": " + key + ": unknown key, stored as it is"));
        if (!table.faults().isEmpty()) {
            table.faults().forEach(fault -> faults.add(source + ": " + fault));
            return;
        }
        String earlier = places.putIfAbsent(entry.key(), source + ": " + place);
        if (earlier != null) {
            faults.add(source + ": " + place + ": " + entry.key() + " is declared twice, first in " + earlier);
            return;
        }
        entries.put(entry.key(), entry);
    }

    private static String firstLine(IOException cause) {
        @Nullable String message = cause.getMessage();
        return message == null ? cause.toString() : message.lines().limit(1).collect(Collectors.joining());
    }
}
