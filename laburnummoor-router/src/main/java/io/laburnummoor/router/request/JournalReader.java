package io.laburnummoor.router.request;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.FoundAnswer;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.router.connection.JournalPeer;
import io.laburnummoor.wire.generated.JournalEntryMessage;
import io.laburnummoor.wire.generated.OpenMode;
import io.laburnummoor.wire.generated.OpenReply;
import io.laburnummoor.wire.generated.OpenRequest;
import io.laburnummoor.wire.request.WireMessages;
import org.jspecify.annotations.Nullable;

/** Reads the journal of one request from several agents at once and keeps the newest entry. */
final class JournalReader {
    private final AtomicReference<@Nullable FoundAnswer> newest = new AtomicReference<>();
    private final AtomicInteger outstandingCount;
    private final Consumer<@Nullable FoundAnswer> resultHandler;

    private JournalReader(int candidateCount, Consumer<@Nullable FoundAnswer> resultHandler) {
        this.outstandingCount = new AtomicInteger(candidateCount);
        this.resultHandler = resultHandler;
    }

    /** Asks all candidates; the handler gets the newest entry, or null, when all have answered or timed out. */
    static void read(RequestId id, List<JournalPeer> candidates, Consumer<@Nullable FoundAnswer> resultHandler) {
        if (candidates.isEmpty()) {
            resultHandler.accept(null);
            return;
        }
        JournalReader reader = new JournalReader(candidates.size(), resultHandler);
        OpenRequest message = new OpenRequest(WireMessages.toWire(id), OpenMode.READ);
        candidates.forEach(candidate -> candidate.open(message, reader::onReply));
    }

    private void onReply(@Nullable OpenReply reply) {
        if (reply != null && reply.isSetFound()) {
            FoundAnswer found = decode(reply.getFound());
            newest.accumulateAndGet(found, JournalReader::newer);
        }
        if (outstandingCount.decrementAndGet() == 0) {
            resultHandler.accept(newest.get());
        }
    }

    private static @Nullable FoundAnswer newer(@Nullable FoundAnswer left, @Nullable FoundAnswer right) {
        if (left == null || right == null) {
            return left == null ? right : left;
        }
        if (left.epoch() != right.epoch()) {
            return left.epoch() > right.epoch() ? left : right;
        }
        return left.tokens().size() >= right.tokens().size() ? left : right;
    }

    private static FoundAnswer decode(JournalEntryMessage message) {
        return new FoundAnswer(
                message.getEpoch(),
                message.getWriter(),
                WireMessages.fromWire(message.getBinding()),
                message.getBodyDigest(),
                WireMessages.fromWire(message.getTokens()),
                message.isSetFinishReason() ? FinishReason.fromWireName(message.getFinishReason()) : null,
                message.isWriterAlive(),
                message.isCallerAttached());
    }
}
