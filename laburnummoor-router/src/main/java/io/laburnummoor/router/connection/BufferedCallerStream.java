package io.laburnummoor.router.connection;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.ResumePosition;
import io.laburnummoor.core.request.Token;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;

/** Buffers an answer and sends it as one JSON document when it is complete. */
public final class BufferedCallerStream implements CallerStream {
    private final AsyncResponse response;
    private final List<Token> tokens = new ArrayList<>();
    private String idempotencyKey = "";

    /** Creates a stream that resumes the given response. */
    public BufferedCallerStream(AsyncResponse response) {
        this.response = response;
    }

    @Override
    public void open(String key) {
        idempotencyKey = key;
    }

    @Override
    public void sendTokens(int offset, List<Token> added, ResumePosition next) {
        tokens.addAll(added);
    }

    /** Does nothing, because a buffered response sends no data before its end. */
    @Override
    public void sendKeepAlive() {}

    @Override
    public void finish(int tokenCount, FinishReason reason) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        StringBuilder text = new StringBuilder();
        tokens.forEach(token -> text.append(token.text()));
        body.put("text", text.toString());
        tokens.forEach(token -> body.withArray("token_ids").add(token.id()));
        body.put("finish_reason", reason.wireName());
        body.put("tokens", tokenCount);
        response.resume(Response.ok(body.toString(), MediaType.APPLICATION_JSON_TYPE)
                .header("Idempotency-Key", idempotencyKey)
                .build());
    }

    @Override
    public void refuse(ErrorCode code, String detail, long retryAfterMillis) {
        response.resume(Problem.response(code, detail, retryAfterMillis));
    }

    @Override
    public void fail(ErrorCode code, String detail) {
        response.resume(Problem.response(code, detail));
    }
}
