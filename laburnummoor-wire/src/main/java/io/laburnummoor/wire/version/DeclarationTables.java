package io.laburnummoor.wire.version;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;

import io.laburnummoor.core.version.OrganisationDeclaration;
import io.laburnummoor.core.version.RolloutDeclaration;
import io.laburnummoor.core.version.ServiceDeclaration;
import io.laburnummoor.core.version.VersionDeclaration;
import io.laburnummoor.wire.process.Settings;

/** Reads the table of one declaration, from a file or from the key-value service. */
final class DeclarationTables {
    private static final int MAX_LIMIT = 1_000_000_000;
    private static final double MAX_SLOWDOWN_RATIO = 100;
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]*";

    /** Readers by the kind of declaration, which is also the name of the array of tables. */
    static final Map<String, BiFunction<DeclarationSchema, Settings, Object>> READERS = new TreeMap<>(Map.of(
            "service", DeclarationTables::readService,
            "organisation", DeclarationTables::readOrganisation,
            "upstream_version", DeclarationTables::readVersion,
            "rollout", DeclarationTables::readRollout));

    private DeclarationTables() {}

    /** Returns the declaration of a table; faults are added to the table. */
    static Object read(String kind, DeclarationSchema schema, Settings table) {
        BiFunction<DeclarationSchema, Settings, Object> reader = READERS.get(kind);
        if (reader == null) {
            throw new IllegalArgumentException("unknown kind of declaration " + kind);
        }
        return reader.apply(schema, table);
    }

    /** Returns the key that tells a declaration from all others. */
    static String key(Object declaration) {
        if (declaration instanceof ServiceDeclaration service) {
            return "service/" + service.name();
        } else if (declaration instanceof OrganisationDeclaration organisation) {
            return "organisation/" + organisation.name();
        } else if (declaration instanceof VersionDeclaration version) {
            return "upstream_version/" + version.service() + "/" + version.version();
        } else if (declaration instanceof RolloutDeclaration rollout) {
            return "rollout/" + rollout.name();
        }
        throw new IllegalArgumentException("not a declaration: " + declaration);
    }

    private static ServiceDeclaration readService(DeclarationSchema schema, Settings table) {
        String kind = table.text("kind", text -> text.matches("engine|plain"), "must be engine or plain");
        return new ServiceDeclaration(
                name(table, "name"),
                kind.equals("plain") ? ServiceDeclaration.Kind.PLAIN : ServiceDeclaration.Kind.ENGINE,
                table.textOr("active_version", ""),
                List.copyOf(table.texts("idempotent_routes")));
    }

    private static OrganisationDeclaration readOrganisation(DeclarationSchema schema, Settings table) {
        List<String> keys = table.texts("key_sha256s").stream()
                .map(key -> key.toLowerCase(Locale.ROOT))
                .toList();
        if (!keys.stream().allMatch(key -> key.matches("[0-9a-f]{64}"))) {
            table.addFault("key_sha256s", "must hold SHA-256 digests of 64 hexadecimal digits");
        }
        String name = name(table, "name");
        Settings limits = schema.limits(table);
        return new OrganisationDeclaration(
                name,
                keys,
                limits.integer("max_concurrent", 1, MAX_LIMIT),
                limits.integer("tokens_per_second", 1, MAX_LIMIT));
    }

    private static VersionDeclaration readVersion(DeclarationSchema schema, Settings table) {
        return new VersionDeclaration(
                name(table, "service"),
                name(table, "version"),
                table.flag("enforces_fencing"),
                table.flag("checks_sender"),
                List.copyOf(table.texts("adapters")));
    }

    private static RolloutDeclaration readRollout(DeclarationSchema schema, Settings table) {
        String name = name(table, "name");
        String service = name(table, "service");
        String from = name(table, "from");
        String to = name(table, "to");
        long completeByMillis = time(table, "complete_by");
        List<String> routes = List.copyOf(table.texts("routes"));
        Settings bounds = schema.bounds(table);
        return new RolloutDeclaration(
                name,
                service,
                from,
                to,
                completeByMillis,
                routes,
                bounds.number("max_error_rate_increase", 0, 1),
                bounds.number("max_slowdown_ratio", 1, MAX_SLOWDOWN_RATIO));
    }

    private static String name(Settings table, String key) {
        return table.text(
                key,
                text -> text.matches(NAME_PATTERN),
                "must be a name of letters, digits, dots, hyphens and underscores");
    }

    private static long time(Settings table, String key) {
        String text = table.text(key, DeclarationTables::isTime, "must be an RFC 3339 time with its offset from UTC");
        return text.isEmpty() ? 0 : OffsetDateTime.parse(text).toInstant().toEpochMilli();
    }

    private static boolean isTime(String text) {
        try {
            OffsetDateTime.parse(text);
            return true;
        } catch (DateTimeException malformed) {
            return false;
        }
    }
}
