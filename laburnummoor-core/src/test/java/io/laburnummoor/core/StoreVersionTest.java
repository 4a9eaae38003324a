package io.laburnummoor.core;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Guards against a state of a restored store that is taken for another one with the same revision. */
final class StoreVersionTest {
    @ParameterizedTest(name = "era {0}, revision {1}")
    @CsvSource({"0, 0", "0, 7", "1, 0", "1, 7", "32767, 17592186044415"})
    void eraAndRevisionAreKept(long era, long revision) {
        long version = StoreVersion.of(era, revision);

        assertThat(StoreVersion.eraOf(version), is(era));
        assertThat(StoreVersion.revisionOf(version), is(revision));
        assertThat(Long.toString(version).length() <= 18, is(true));
    }

    @ParameterizedTest(name = "revision {1} of era {0} is before revision {3} of era {2}")
    @CsvSource({"0, 7, 0, 8", "0, 17592186044415, 1, 0", "1, 500, 2, 3"})
    void laterErasAreGreater(long era, long revision, long laterEra, long laterRevision) {
        assertThat(StoreVersion.of(era, revision), is(lessThan(StoreVersion.of(laterEra, laterRevision))));
    }

    @ParameterizedTest(name = "\"{0}\" states era {1}")
    @CsvSource(
            nullValues = "none",
            value = {
                "0, 0",
                "3, 3",
                "' 3 ', 3",
                "32767, 32767",
                "none, 5",
                "'', 5",
                "32768, 5",
                "99999, 5",
                "999999999999999999999, 5",
                "-1, 5",
                "1.5, 5",
                "x, 5",
                "'3, 4', 5"
            })
    void anUnreadableEraIsNoStatement(String text, long era) {
        assertThat(StoreVersion.parseEra(text, 5), is(era));
    }
}
