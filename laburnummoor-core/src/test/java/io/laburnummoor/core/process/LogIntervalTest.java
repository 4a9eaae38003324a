package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against a log that faulty input fills, and against faults that are neither logged nor counted. */
final class LogIntervalTest {
    @ParameterizedTest(name = "at {0} ms: {1}")
    @CsvSource({
        "0, 1",
        "0 1 59999, 1 0 0",
        "0 1 60000, 1 0 2",
        "0 60000 120000, 1 1 1",
        "0 30000 90000 90001 150000, 1 0 2 0 2",
        "-500 -499 59500, 1 0 2"
    })
    void logsAtMostOneOccurrenceInAnInterval(String times, String logged) {
        LogInterval interval = new LogInterval(60_000);
        List<String> counts = new ArrayList<>();

        Arrays.stream(times.split(" ")).forEach(each -> counts.add("" + interval.record(Long.parseLong(each))));

        assertThat(String.join(" ", counts), is(logged));
    }
}
