package io.laburnummoor.wire.process;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.ClaimSegment;
import io.laburnummoor.core.process.SegmentCodec;
import io.laburnummoor.core.request.ClaimRecord;
import io.laburnummoor.core.request.ClaimState;
import io.laburnummoor.core.request.RecordedResult;
import io.laburnummoor.core.request.RequestId;
import org.jspecify.annotations.Nullable;

/** Encodes segments of claims as JSON. */
public final class JacksonSegmentCodec implements SegmentCodec {
    private static final int SCHEMA_VERSION = 1;

    private final ObjectMapper mapper = new ObjectMapper();

    @Override
    public String encode(ClaimSegment segment) {
        ObjectNode root = mapper.createObjectNode();
        root.put("schema_version", SCHEMA_VERSION).put("sealed", segment.sealed());
        root.put("drop_deadline_millis", segment.dropDeadlineMillis());
        segment.operationIds().forEach(root.putArray("operation_ids")::add);
        root.putArray("records")
                .addAll(segment.records().stream().map(this::encodeRecord).toList());
        return root.toString();
    }

    @Override
    public ClaimSegment decode(String text) {
        try {
            JsonNode root = mapper.readTree(text);
            if (root.path("schema_version").asInt() != SCHEMA_VERSION) {
                throw new LaburnummoorException(ErrorCode.INTERNAL, "segment has an unknown schema version");
            }
            List<String> operationIds = new ArrayList<>();
            root.path("operation_ids").forEach(each -> operationIds.add(each.asText()));
            List<ClaimRecord> records = new ArrayList<>();
            root.path("records").forEach(each -> records.add(decodeRecord(each)));
            return new ClaimSegment(
                    root.path("sealed").asBoolean(),
                    root.path("drop_deadline_millis").asLong(),
                    List.copyOf(operationIds),
                    List.copyOf(records));
        } catch (JsonProcessingException | IllegalArgumentException cause) {
            throw new LaburnummoorException(ErrorCode.INTERNAL, "segment cannot be read: " + cause.getMessage(), cause);
        }
    }

    private ObjectNode encodeRecord(ClaimRecord record) {
        ObjectNode node = mapper.createObjectNode();
        node.put("state", record.state().name());
        node.put("organisation", record.id().organisation());
        node.put("key", record.id().key());
        node.put("nonce", record.nonce());
        node.put("claimant", record.claimant());
        node.put("body_digest", record.bodyDigest());
        node.put("deadline_millis", record.deadlineMillis());
        RecordedResult result = record.result();
        if (result != null) {
            ObjectNode encoded = node.putObject("result");
            encoded.put("status", result.status()).put("content_type", result.contentType());
            encoded.put("body_base64", result.bodyBase64()).put("size_bytes", result.sizeBytes());
        }
        return node;
    }

    private static ClaimRecord decodeRecord(JsonNode node) {
        return new ClaimRecord(
                ClaimState.valueOf(node.path("state").asText()),
                new RequestId(
                        node.path("organisation").asText(), node.path("key").asText()),
                node.path("nonce").asText(),
                node.path("claimant").asText(),
                node.path("body_digest").asText(),
                node.path("deadline_millis").asLong(),
                decodeResult(node.path("result")));
    }

    private static @Nullable RecordedResult decodeResult(JsonNode node) {
        if (node.isMissingNode()) {
            return null;
        }
        return new RecordedResult(
                node.path("status").asInt(),
                node.path("content_type").asText(),
                node.path("body_base64").isTextual() ? node.path("body_base64").asText() : null,
                node.path("size_bytes").asInt());
    }
}
