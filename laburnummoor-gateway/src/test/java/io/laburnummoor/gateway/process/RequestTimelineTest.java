package io.laburnummoor.gateway.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Guards against timelines that mix requests or are not ordered by time across processes, and against log values that
 * break the HTML page.
 */
final class RequestTimelineTest {
    @TempDir
    private Path folder = Path.of("");

    private RequestTimeline read(String request, String... lines) throws IOException {
        Path first = Files.write(folder.resolve("a.log"), List.of(lines));
        Path second = Files.write(
                folder.resolve("b.log"),
                List.of("{\"at_ms\":1005,\"process\":\"router-2\",\"event\":\"request_ended\",\"request\":\"r-1\"}"));
        return RequestTimeline.read(request, List.of(first, second));
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"at_ms\":1000,\"event\":\"e\",\"request\":\"r-1\"} | 2 | 0",
                "2.5 router-1 {\"at_ms\":1000,\"event\":\"e\",\"request\":\"r-1\"} | 2 | 0",
                "{\"at_ms\":1000,\"event\":\"e\",\"request\":\"r-11\"} | 1 | 0",
                "{\"at_ms\":1000,\"event\":\"e\",\"error\":\"r-1\"} | 1 | 0",
                "{\"at_ms\":1000,\"event\":\"e\",\"request\":\"r-1 | 1 | 1",
                "no object for r-1 | 1 | 1"
            })
    void containsOnlyEventsOfTheRequest(String line, int events, int unreadable) throws IOException {
        RequestTimeline timeline = read("r-1", line);

        assertThat(timeline.events().size(), is(events));
        assertThat(timeline.unreadableCount(), is(unreadable));
    }

    @ParameterizedTest
    @ValueSource(longs = {990, 1_004, 1_006, 5_000})
    void ordersEventsOfAllProcessesByTime(long atMillis) throws IOException {
        RequestTimeline timeline = read(
                "r-1", "{\"at_ms\":" + atMillis + ",\"process\":\"router-1\",\"event\":\"e\",\"request\":\"r-1\"}");

        assertThat(timeline.events().get(0).process(), is(atMillis < 1_005 ? "router-1" : "router-2"));
        assertThat(timeline.events().get(1).sinceStartMillis(), is(Math.abs(atMillis - 1_005)));
    }

    /** Without the urgency of each attempt, nobody can tell why an engine let others go first. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"upstream_chosen", "request_ended"})
    void showsTheUrgencyOfAttempts(String event) throws IOException {
        RequestTimeline timeline =
                read("r-1", "{\"at_ms\":900,\"event\":\"" + event + "\",\"request\":\"r-1\",\"urgency\":0}");

        assertThat(timeline.lines().get(0), containsString(event + " "));
        assertThat(timeline.lines().get(0), containsString(" urgency=0"));
        assertThat(TimelinePage.of(timeline), containsString("urgency=0"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"<script>", "a & b", "plain"})
    void pageEscapesFieldValues(String value) throws IOException {
        RequestTimeline timeline = read(
                "r-1",
                "{\"at_ms\":900,\"event\":\"e\",\"request\":\"r-1\",\"load_age_ms\":7,\"cause\":\"" + value + "\"}");

        String page = TimelinePage.of(timeline);

        assertThat(page, not(containsString("<script>")));
        assertThat(page, containsString("<span class=\"age\">load_age_ms=7</span>"));
        assertThat(page, containsString("2 events of 2 processes in 105 ms"));
    }
}
