package io.laburnummoor.wire.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.RolloutStateCodec;
import io.laburnummoor.core.version.RolloutState;

/** Encodes the state of a rollout as JSON. */
public final class RolloutJson implements RolloutStateCodec {
    private final ObjectMapper mapper = new ObjectMapper();

    @Override
    public String encode(RolloutState state) {
        ObjectNode root = mapper.createObjectNode();
        root.put("schema_version", 1).put("name", state.name()).put("service", state.service());
        root.put("from_version", state.fromVersion()).put("to_version", state.toVersion());
        root.put("phase", state.phase().text()).put("step", state.step());
        root.put("started_at_millis", state.startedAtMillis()).put("step_at_millis", state.stepAtMillis());
        root.put("complete_by_millis", state.completeByMillis()).put("late_reported", state.lateReported());
        root.put("change", state.change());
        ArrayNode events = root.putArray("events");
        state.events().forEach(each -> events.addObject()
                .put("at_millis", each.atMillis())
                .put("kind", each.kind())
                .put("detail", each.detail()));
        return root.toString();
    }

    @Override
    public RolloutState decode(String text) {
        try {
            JsonNode root = mapper.readTree(text);
            List<RolloutState.Event> events = new ArrayList<>();
            for (JsonNode each : root.path("events")) {
                events.add(new RolloutState.Event(
                        each.path("at_millis").asLong(),
                        each.path("kind").asText(),
                        each.path("detail").asText()));
            }
            return new RolloutState(
                    root.path("name").asText(),
                    root.path("service").asText(),
                    root.path("from_version").asText(),
                    root.path("to_version").asText(),
                    RolloutState.Phase.valueOf(root.path("phase").asText().toUpperCase(Locale.ROOT)),
                    root.path("step").asInt(),
                    root.path("started_at_millis").asLong(),
                    root.path("step_at_millis").asLong(),
                    root.path("complete_by_millis").asLong(),
                    root.path("late_reported").asBoolean(),
                    root.path("change").asLong(),
                    List.copyOf(events));
        } catch (JsonProcessingException | IllegalArgumentException cause) {
            throw new LaburnummoorException(
                    ErrorCode.INVALID_SETTINGS, "rollout state cannot be read: " + cause.getMessage(), cause);
        }
    }
}
