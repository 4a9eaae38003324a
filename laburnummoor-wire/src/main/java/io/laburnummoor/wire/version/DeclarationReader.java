package io.laburnummoor.wire.version;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import io.laburnummoor.core.version.ConfigSet;
import io.laburnummoor.core.version.OrganisationDeclaration;
import io.laburnummoor.core.version.ServiceDeclaration;
import io.laburnummoor.wire.process.Settings;

/** Reads and checks a TOML file of declarations. */
public final class DeclarationReader {
    private static final int SCHEMA_VERSION = 1;
    private static final int MAX_LIMIT = 1_000_000_000;

    private DeclarationReader() {}

    /**
     * Reads a file of declarations for the given revision.
     *
     * @throws io.laburnummoor.core.LaburnummoorException with code {@code invalid_settings} that lists all faults
     */
    public static ConfigSet read(Path file, long revision) {
        Settings settings = Settings.read(file);
        settings.integer("schema_version", SCHEMA_VERSION, SCHEMA_VERSION);
        List<ServiceDeclaration> services = settings.tables("service").stream()
                .map(DeclarationReader::readService)
                .toList();
        List<OrganisationDeclaration> organisations = settings.tables("organisation").stream()
                .map(DeclarationReader::readOrganisation)
                .toList();
        settings.throwIfFaulty();
        return new ConfigSet(revision, services, organisations);
    }

    private static ServiceDeclaration readService(Settings table) {
        String kind = table.text("kind", text -> text.matches("engine|plain"), "must be engine or plain");
        return new ServiceDeclaration(
                table.text("name"),
                kind.equals("plain") ? ServiceDeclaration.Kind.PLAIN : ServiceDeclaration.Kind.ENGINE,
                table.textOr("active_version", ""),
                List.copyOf(table.texts("idempotent_routes")));
    }

    private static OrganisationDeclaration readOrganisation(Settings table) {
        List<String> keys = table.texts("key_sha256s").stream()
                .map(key -> key.toLowerCase(Locale.ROOT))
                .toList();
        if (!keys.stream().allMatch(key -> key.matches("[0-9a-f]{64}"))) {
            table.addFault("key_sha256s", "must hold SHA-256 digests of 64 hexadecimal digits");
        }
        return new OrganisationDeclaration(
                table.text("name"),
                keys,
                table.integer("max_concurrent", 1, MAX_LIMIT),
                table.integer("tokens_per_second", 1, MAX_LIMIT));
    }
}
