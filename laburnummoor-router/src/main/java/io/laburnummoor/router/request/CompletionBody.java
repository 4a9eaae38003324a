package io.laburnummoor.router.request;

import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.request.GenerationRequest;
import io.laburnummoor.core.request.Priority;
import io.laburnummoor.core.request.RequestId;
import org.apache.commons.codec.digest.DigestUtils;
import org.jspecify.annotations.Nullable;

/** The JSON body of {@code POST /v1/completions}; each field is validated when it is read. */
public final class CompletionBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_TOKENS_LIMIT = 65_536;
    private static final int MAX_TOKENS_DEFAULT = 256;
    private static final double MAX_TEMPERATURE = 2;
    private static final Set<String> KNOWN_FIELDS =
            Set.of("service", "model", "prompt", "max_tokens", "temperature", "seed", "adapter", "priority", "stream");

    private final JsonNode root;
    private final String digest;

    private CompletionBody(JsonNode root, String digest) {
        this.root = root;
        this.digest = digest;
    }

    /**
     * Parses a body and rejects unknown fields.
     *
     * @throws LaburnummoorException with code {@code bad_request}; the message names the invalid field
     */
    public static CompletionBody parse(byte[] bytes) {
        JsonNode root;
        try {
            root = MAPPER.readTree(bytes);
        } catch (JsonProcessingException cause) {
            throw badRequest("the body is not JSON: " + cause.getOriginalMessage());
        } catch (java.io.IOException cause) {
            throw badRequest("the body cannot be read");
        }
        if (root == null || !root.isObject()) {
            throw badRequest("the body must be a JSON object");
        }
        root.fieldNames().forEachRemaining(name -> {
            if (!KNOWN_FIELDS.contains(name)) {
                throw badRequest("unknown field " + name);
            }
        });
        return new CompletionBody(root, DigestUtils.sha256Hex(root.toString()));
    }

    /** Returns whether the caller requested a stream of server-sent events. */
    public boolean stream() {
        return booleanField("stream");
    }

    /** Returns the name of the service, from {@code service} or else from {@code model}. */
    public String service() {
        JsonNode service = root.has("service") ? root.get("service") : root.path("model");
        if (!service.isTextual() || service.asText().isEmpty()) {
            throw badRequest("service must be a non-empty text");
        }
        return service.asText();
    }

    /** Validates the remaining fields and returns the generation request. */
    public GenerationRequest toRequest(RequestId id, String caller) {
        return new GenerationRequest(
                id,
                service(),
                prompt(),
                (int) integerField("max_tokens", MAX_TOKENS_DEFAULT, 1, MAX_TOKENS_LIMIT),
                temperature(),
                seed(),
                root.path("adapter").asText(""),
                priority(),
                caller,
                digest);
    }

    private String prompt() {
        JsonNode prompt = root.path("prompt");
        if (!prompt.isTextual() || prompt.asText().isEmpty()) {
            throw badRequest("prompt must be a non-empty text");
        }
        return prompt.asText();
    }

    private double temperature() {
        JsonNode node = root.path("temperature");
        if (node.isMissingNode()) {
            return 0;
        }
        if (!node.isNumber() || node.doubleValue() < 0 || node.doubleValue() > MAX_TEMPERATURE) {
            throw badRequest("temperature must be a number from 0 to 2");
        }
        return node.doubleValue();
    }

    private @Nullable Long seed() {
        return root.has("seed") ? integerField("seed", 0, Long.MIN_VALUE, Long.MAX_VALUE) : null;
    }

    private Priority priority() {
        String name = root.path("priority").asText("interactive");
        return switch (name) {
            case "interactive" -> Priority.INTERACTIVE;
            case "batch" -> Priority.BATCH;
            default -> throw badRequest("priority must be interactive or batch");
        };
    }

    private long integerField(String field, long defaultValue, long min, long max) {
        JsonNode node = root.path(field);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        if (!node.isIntegralNumber() || !node.canConvertToLong() || node.longValue() < min || node.longValue() > max) {
            throw badRequest(field + " must be a whole number from " + min + " to " + max);
        }
        return node.longValue();
    }

    private boolean booleanField(String field) {
        JsonNode node = root.path(field);
        if (!node.isMissingNode() && !node.isBoolean()) {
            throw badRequest(field + " must be true or false");
        }
        return node.asBoolean(false);
    }

    private static LaburnummoorException badRequest(String message) {
        return new LaburnummoorException(ErrorCode.BAD_REQUEST, message);
    }
}
