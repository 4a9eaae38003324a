package io.laburnummoor.wire.request;

import io.laburnummoor.core.request.ClaimOutcome;
import io.laburnummoor.core.request.ClaimRecord;
import io.laburnummoor.core.request.ClaimState;
import io.laburnummoor.core.request.RecordedResult;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.wire.generated.ClaimItem;
import io.laburnummoor.wire.generated.ClaimItemReply;
import io.laburnummoor.wire.generated.ClaimOutcomeKind;
import io.laburnummoor.wire.generated.ClaimResult;
import org.jspecify.annotations.Nullable;

/** Translates claims between core types and Thrift messages. */
public final class ClaimMessages {
    private ClaimMessages() {}

    /** Returns the message of a command; its state is told by the method that carries it. */
    public static ClaimItem encode(ClaimRecord command) {
        ClaimItem item = new ClaimItem(
                command.id().organisation(),
                command.id().key(),
                command.nonce(),
                command.claimant(),
                command.bodyDigest(),
                command.deadlineMillis());
        RecordedResult result = command.result();
        if (result != null) {
            item.setResult(encode(result));
        }
        return item;
    }

    /** Returns the command of a message. */
    public static ClaimRecord decode(ClaimItem item, ClaimState state) {
        return new ClaimRecord(
                state,
                new RequestId(item.getOrganisation(), item.getKey()),
                item.getNonce(),
                item.getClaimant(),
                item.getBodyDigest(),
                item.getDeadlineMillis(),
                item.isSetResult() ? decode(item.getResult()) : null);
    }

    /** Returns the message of an outcome. */
    public static ClaimItemReply encode(ClaimOutcome outcome) {
        ClaimItemReply reply =
                new ClaimItemReply(ClaimOutcomeKind.valueOf(outcome.kind().name()));
        RecordedResult result = outcome.result();
        if (result != null) {
            reply.setResult(encode(result));
        }
        return reply;
    }

    /** Returns the outcome of a message. */
    public static ClaimOutcome decode(ClaimItemReply reply) {
        return new ClaimOutcome(
                ClaimOutcome.Kind.valueOf(reply.getKind().name()),
                reply.isSetResult() ? decode(reply.getResult()) : null);
    }

    private static ClaimResult encode(RecordedResult result) {
        ClaimResult message = new ClaimResult(result.status(), result.contentType(), result.sizeBytes());
        String body = result.bodyBase64();
        if (body != null) {
            message.setBodyBase64(body);
        }
        return message;
    }

    private static RecordedResult decode(ClaimResult message) {
        @Nullable String body = message.isSetBodyBase64() ? message.getBodyBase64() : null;
        return new RecordedResult(message.getStatus(), message.getContentType(), body, message.getSizeBytes());
    }
}
