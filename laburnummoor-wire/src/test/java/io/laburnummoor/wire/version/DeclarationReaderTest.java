package io.laburnummoor.wire.version;

import java.util.List;

import io.laburnummoor.core.version.ConfigEntry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

/** Guards against declarations that are accepted although they are wrong, and against lost fields. */
final class DeclarationReaderTest {
    private static final String VALID =
            """
            schema_version = 2
            [[service]]
            name = "drafter"
            kind = "engine"
            active_version = "v1"
            [[upstream_version]]
            service = "drafter"
            version = "v1"
            enforces_fencing = true
            checks_sender = false
            [[upstream_version]]
            service = "drafter"
            version = "v2"
            enforces_fencing = false
            checks_sender = false
            adapters = ["es"]
            [[rollout]]
            name = "spring"
            service = "drafter"
            from = "v1"
            to = "v2"
            complete_by = "2026-12-05T06:00:00+09:00"
            routes = ["/v1/completions"]
            [rollout.bounds]
            max_error_rate_increase = 0.01
            max_slowdown_ratio = 1.2
            [[organisation]]
            name = "desk"
            key_sha256s = ["%s"]
            [organisation.limits]
            max_concurrent = 3
            tokens_per_second = 5
            """
                    .formatted("ab".repeat(32));

    @ParameterizedTest
    @CsvFileSource(resources = "declaration-faults.csv", delimiter = '|', quoteCharacter = '\'')
    void faultsNameFileKeyAndReason(String text, String replacement, String expected) {
        DeclarationReader reader = new DeclarationReader();
        reader.read("a.toml", VALID.replace(text, replacement == null ? "" : replacement));

        assertThat(reader.faults(List.of()), hasItem(expected));
    }

    @ParameterizedTest
    @ValueSource(strings = {"schema_version = 1\n", "schema_version = 2\n"})
    void allFaultsOfAllFilesAreListed(String header) {
        DeclarationReader reader = new DeclarationReader();
        reader.read("a.toml", VALID);
        reader.read("b.toml", header + "[[service]]\nkind = \"motor\"\n");
        reader.read("c.toml", "[[service");
        reader.read(
                "d.toml",
                VALID.substring(0, 19)
                        + VALID.substring(VALID.indexOf("[[organisation]]")).replace("desk", "desk2"));

        List<String> faults = reader.faults(List.of());

        assertThat(faults, hasItem("b.toml: service[0].kind: must be engine or plain"));
        assertThat(faults, hasItem(containsString("c.toml: cannot be read")));
        assertThat(
                faults,
                hasItem("d.toml: organisation[0].key_sha256s: key abababab… belongs to organisation \"desk\" too"));
    }

    @ParameterizedTest
    @CsvSource({"1, ''", "2, [organisation.limits]"})
    void bothVersionsAreReadAndUnknownFieldsAreKept(int version, String table) {
        DeclarationReader reader = new DeclarationReader();
        reader.read(
                "a.toml",
                "schema_version = " + version + "\n[[organisation]]\nname = \"desk\"\nlater_field = 7\n" + table
                        + "\nmax_concurrent = 3\ntokens_per_second = 5\n");

        assertThat(reader.faults(List.of()), is(List.of()));
        assertThat(reader.warnings(), is(List.of("a.toml: organisation[0].later_field: unknown key, stored as it is")));
        ConfigEntry entry = reader.entries().iterator().next();
        ConfigEntry stored = new ConfigCodec().decodeEntry(entry.key(), entry.text());
        assertThat(stored, is(entry));
        assertThat(stored.text(), containsString("\"later_field\":7"));
    }
}
