package io.laburnummoor.wire.request;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.request.Binding;
import io.laburnummoor.core.request.EpochSpan;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.JournaledAnswer;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.request.Token;
import io.laburnummoor.wire.generated.JournalEntryMessage;
import io.laburnummoor.wire.generated.WireBinding;
import io.laburnummoor.wire.generated.WireEpochSpan;
import io.laburnummoor.wire.generated.WireRequestId;
import io.laburnummoor.wire.generated.WireToken;

/** Translates between core types and Thrift structs. */
public final class WireMessages {
    private WireMessages() {}

    /** Returns the struct of a request id. */
    public static WireRequestId toWire(RequestId id) {
        return new WireRequestId(id.organisation(), id.key());
    }

    /** Returns the request id of a struct. */
    public static RequestId fromWire(WireRequestId id) {
        return new RequestId(id.getOrganisation(), id.getKey());
    }

    /** Returns the struct of a binding. */
    public static WireBinding toWire(Binding binding) {
        return new WireBinding(binding.service(), binding.version(), binding.adapter(), binding.seed());
    }

    /** Returns the binding of a struct. */
    public static Binding fromWire(WireBinding binding) {
        return new Binding(binding.getServiceName(), binding.getVersion(), binding.getAdapter(), binding.getSeed());
    }

    /** Returns the structs of tokens. */
    public static List<WireToken> toWire(List<Token> tokens) {
        List<WireToken> wireTokens = new ArrayList<>(tokens.size());
        for (Token token : tokens) {
            wireTokens.add(new WireToken(token.id(), token.text()));
        }
        return wireTokens;
    }

    /** Returns the tokens of structs. */
    public static List<Token> fromWire(List<WireToken> wireTokens) {
        List<Token> tokens = new ArrayList<>(wireTokens.size());
        for (WireToken token : wireTokens) {
            tokens.add(new Token(token.getId(), token.getText()));
        }
        return tokens;
    }

    /** Returns the structs of a history. */
    public static List<WireEpochSpan> historyToWire(List<EpochSpan> history) {
        return history.stream()
                .map(span -> new WireEpochSpan(span.epoch(), span.startOffset()))
                .toList();
    }

    /** Returns the history of structs. */
    public static List<EpochSpan> historyFromWire(List<WireEpochSpan> history) {
        return history.stream()
                .map(span -> new EpochSpan(span.getEpoch(), span.getStartOffset()))
                .toList();
    }

    /** Returns the struct of a journaled answer. */
    public static JournalEntryMessage toWire(JournaledAnswer found) {
        JournalEntryMessage message = new JournalEntryMessage(
                historyToWire(found.history()),
                found.writer(),
                toWire(found.binding()),
                found.bodyDigest(),
                toWire(found.tokens()),
                found.writerAlive(),
                found.callerAttached());
        FinishReason reason = found.finishReason();
        if (reason != null) {
            message.setFinishReason(reason.wireName());
        }
        return message;
    }

    /** Returns the journaled answer of a struct. */
    public static JournaledAnswer fromWire(JournalEntryMessage message) {
        return new JournaledAnswer(
                historyFromWire(message.getHistory()),
                message.getWriter(),
                fromWire(message.getBinding()),
                message.getBodyDigest(),
                fromWire(message.getTokens()),
                message.isSetFinishReason() ? FinishReason.fromWireName(message.getFinishReason()) : null,
                message.isWriterAlive(),
                message.isCallerAttached());
    }
}
