package io.laburnummoor.wire.version;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.version.RolloutDeclaration;

/** Encodes declared rollouts as a JSON array. */
public final class RolloutDeclarationsJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RolloutDeclarationsJson() {}

    /** Returns the text of the declarations. */
    public static String encode(List<RolloutDeclaration> declarations) {
        ArrayNode root = MAPPER.createArrayNode();
        for (RolloutDeclaration each : declarations) {
            ObjectNode node = root.addObject();
            node.put("name", each.name()).put("service", each.service());
            node.put("from_version", each.fromVersion()).put("to_version", each.toVersion());
            node.put("complete_by_millis", each.completeByMillis());
            each.routes().forEach(node.putArray("routes")::add);
            node.put("max_error_rate_increase", each.maxErrorRateIncrease());
            node.put("max_slowdown_ratio", each.maxSlowdownRatio());
        }
        return root.toString();
    }

    /** Returns the declarations of a text. */
    public static List<RolloutDeclaration> decode(String text) {
        try {
            List<RolloutDeclaration> declarations = new ArrayList<>();
            for (JsonNode node : MAPPER.readTree(text)) {
                List<String> routes = new ArrayList<>();
                node.path("routes").forEach(each -> routes.add(each.asText()));
                declarations.add(new RolloutDeclaration(
                        node.path("name").asText(),
                        node.path("service").asText(),
                        node.path("from_version").asText(),
                        node.path("to_version").asText(),
                        node.path("complete_by_millis").asLong(),
                        List.copyOf(routes),
                        node.path("max_error_rate_increase").asDouble(),
                        node.path("max_slowdown_ratio").asDouble()));
            }
            return List.copyOf(declarations);
        } catch (JsonProcessingException cause) {
            throw new LaburnummoorException(
                    ErrorCode.INVALID_SETTINGS, "declared rollouts cannot be read: " + cause.getMessage(), cause);
        }
    }
}
