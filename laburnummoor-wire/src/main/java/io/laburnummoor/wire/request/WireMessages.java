package io.laburnummoor.wire.request;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.request.Binding;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.request.Token;
import io.laburnummoor.wire.generated.WireBinding;
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
}
