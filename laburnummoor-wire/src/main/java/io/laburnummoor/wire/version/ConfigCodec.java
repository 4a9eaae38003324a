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
import io.laburnummoor.core.version.ConfigSet;
import io.laburnummoor.core.version.OrganisationDeclaration;
import io.laburnummoor.core.version.ServiceDeclaration;

/** Encodes a configuration set as the JSON text that is kept in the key-value service. */
public final class ConfigCodec {
    private final ObjectMapper mapper = new ObjectMapper();

    /** Returns the text of a set. */
    public String encode(ConfigSet set) {
        ObjectNode root = mapper.createObjectNode();
        root.put("schema_version", 1);
        root.put("revision", set.revision());
        ArrayNode services = root.putArray("services");
        for (ServiceDeclaration service : set.services()) {
            ObjectNode node = services.addObject();
            node.put("name", service.name());
            node.put("kind", service.kind().name().toLowerCase(Locale.ROOT));
            node.put("active_version", service.activeVersion());
            service.idempotentRoutes().forEach(node.putArray("idempotent_routes")::add);
        }
        ArrayNode organisations = root.putArray("organisations");
        for (OrganisationDeclaration organisation : set.organisations()) {
            ObjectNode node = organisations.addObject();
            node.put("name", organisation.name());
            organisation.keySha256s().forEach(node.putArray("key_sha256s")::add);
            node.put("max_concurrent", organisation.maxConcurrent());
            node.put("tokens_per_second", organisation.tokensPerSecond());
        }
        return root.toString();
    }

    /** Returns the set of a text. */
    public ConfigSet decode(String text) {
        try {
            JsonNode root = mapper.readTree(text);
            List<ServiceDeclaration> services = new ArrayList<>();
            for (JsonNode node : root.path("services")) {
                services.add(new ServiceDeclaration(
                        node.path("name").asText(),
                        ServiceDeclaration.Kind.valueOf(
                                node.path("kind").asText().toUpperCase(Locale.ROOT)),
                        node.path("active_version").asText(),
                        texts(node.path("idempotent_routes"))));
            }
            List<OrganisationDeclaration> organisations = new ArrayList<>();
            for (JsonNode node : root.path("organisations")) {
                organisations.add(new OrganisationDeclaration(
                        node.path("name").asText(),
                        texts(node.path("key_sha256s")),
                        node.path("max_concurrent").asInt(),
                        node.path("tokens_per_second").asInt()));
            }
            return new ConfigSet(root.path("revision").asLong(), services, organisations);
        } catch (JsonProcessingException | IllegalArgumentException cause) {
            throw new LaburnummoorException(
                    ErrorCode.INVALID_SETTINGS, "configuration record cannot be read: " + cause.getMessage(), cause);
        }
    }

    private static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(each -> texts.add(each.asText()));
        return List.copyOf(texts);
    }
}
