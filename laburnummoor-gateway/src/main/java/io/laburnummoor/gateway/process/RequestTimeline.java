package io.laburnummoor.gateway.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/**
 * Events that all processes logged about one request, ordered by time.
 *
 * <pre>{@code
 * RequestTimeline.read("9c41d07be2a35f68", List.of(Path.of("router-1.log"))).lines().forEach(System.out::println);
 * }</pre>
 */
public final class RequestTimeline {
    private static final Set<String> COLUMN_FIELDS = Set.of("at_ms", "event", "request", "process");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String requestId;
    private final List<Event> events;
    private final int unreadableCount;

    private RequestTimeline(String requestId, List<Event> events, int unreadableCount) {
        this.requestId = requestId;
        this.events = List.copyOf(events);
        this.unreadableCount = unreadableCount;
    }

    /** Reads the events of a request from log files; lines may have a prefix before the JSON object. */
    public static RequestTimeline read(String requestId, List<Path> files) {
        List<JsonNode> found = new ArrayList<>();
        int unreadableCount = 0;
        for (Path file : files) {
            try (Stream<String> lines = Files.lines(file, StandardCharsets.UTF_8)) {
                for (String line : (Iterable<String>) lines.filter(each -> each.contains(requestId))::iterator) {
                    JsonNode event = parse(line);
                    if (event == null) {
                        unreadableCount++;
                    } else if (event.path("request").asText().equals(requestId)) {
                        found.add(event);
                    }
                }
            } catch (IOException failure) {
                throw new UncheckedIOException("cannot read " + file, failure);
            }
        }
        found.sort(Comparator.comparingLong(each -> each.path("at_ms").asLong()));
        long start = found.isEmpty() ? 0 : found.get(0).path("at_ms").asLong();
        return new RequestTimeline(
                requestId, found.stream().map(each -> Event.of(each, start)).toList(), unreadableCount);
    }

    /** Returns the JSON object of a line, or null for a line without one. */
    private static @Nullable JsonNode parse(String line) {
        int brace = line.indexOf('{');
        try {
            return brace < 0 ? null : MAPPER.readTree(line.substring(brace));
        } catch (JsonProcessingException incomplete) {
            return null;
        }
    }

    /** Returns the id of the request. */
    public String requestId() {
        return requestId;
    }

    public List<Event> events() {
        return events;
    }

    /** Returns the number of lines that contain the request id but no valid JSON object. */
    public int unreadableCount() {
        return unreadableCount;
    }

    /** Returns the text line of each event. */
    public List<String> lines() {
        return events.stream().map(Event::toString).toList();
    }

    /**
     * One logged event.
     *
     * @param sinceStartMillis time since the first event of the request
     * @param process process that logged the event
     * @param name name of the event
     * @param fields all other fields, with their values as JSON
     */
    public record Event(long sinceStartMillis, String process, String name, Map<String, String> fields) {
        private static Event of(JsonNode event, long startMillis) {
            Map<String, String> fields = new LinkedHashMap<>();
            event.fields().forEachRemaining(field -> {
                if (!COLUMN_FIELDS.contains(field.getKey())) {
                    fields.put(field.getKey(), field.getValue().toString());
                }
            });
            return new Event(
                    event.path("at_ms").asLong() - startMillis,
                    event.path("process").asText(),
                    event.path("event").asText(),
                    fields);
        }

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder("%+7d %-22s %-17s".formatted(sinceStartMillis, process, name));
            fields.forEach(
                    (key, value) -> text.append(' ').append(key).append('=').append(value));
            return text.toString();
        }
    }
}
