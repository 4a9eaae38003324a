package io.laburnummoor.wire.process;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against settings that are accepted although a field is missing, out of bounds or misspelt. */
final class SettingsTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "port = 70000 | port: must be a whole number from 1 to 65535",
                "port = 'x' | port: must be a whole number from 1 to 65535",
                "prot = 80 | prot: unknown key",
                "prot = 80 | port: must be a whole number from 1 to 65535",
                "port = | is not TOML",
            })
    void faultsNameTheirKey(String toml, String expected) {
        LaburnummoorException failure = assertThrows(LaburnummoorException.class, () -> {
            Settings settings = Settings.parse("test.toml", toml);
            settings.integer("port", 1, 65_535);
            settings.throwIfFaulty();
        });

        assertThat(failure.errorCode(), is(ErrorCode.INVALID_SETTINGS));
        assertThat(failure.getMessage(), containsString(expected));
    }
}
