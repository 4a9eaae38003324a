package io.laburnummoor.router.connection;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executor;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.ResumePosition;
import io.laburnummoor.core.request.SerialExecutor;
import io.laburnummoor.core.request.Token;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import org.glassfish.jersey.media.sse.EventOutput;
import org.glassfish.jersey.media.sse.OutboundEvent;

/** Sends an answer as server-sent events. Writes run on a shared executor because a slow caller can block them. */
public final class SseCallerStream implements CallerStream {
    private final AsyncResponse response;
    private final EventOutput output = new EventOutput();
    private final SerialExecutor writeQueue;
    private final Runnable disconnectHandler;
    private volatile boolean opened;
    private volatile boolean disconnected;

    /**
     * Creates a stream.
     *
     * @param writers executor on which writes may block
     * @param disconnectHandler called when a write fails
     */
    public SseCallerStream(AsyncResponse response, Executor writers, Runnable disconnectHandler) {
        this.response = response;
        this.disconnectHandler = disconnectHandler;
        this.writeQueue = new SerialExecutor(writers, failure -> disconnect());
    }

    @Override
    public void open(String idempotencyKey) {
        opened = true;
        response.resume(Response.ok(output, MediaType.SERVER_SENT_EVENTS_TYPE)
                .header("Idempotency-Key", idempotencyKey)
                .header("Cache-Control", "no-store")
                .build());
    }

    @Override
    public void sendTokens(int offset, List<Token> tokens, ResumePosition next) {
        submit(() -> writeTokens(offset, tokens, next));
    }

    @Override
    public void sendKeepAlive() {
        submit(() ->
                output.write(new OutboundEvent.Builder().comment("keep-alive").build()));
    }

    @Override
    public void finish(int tokenCount, FinishReason reason) {
        ObjectNode data = JsonNodeFactory.instance
                .objectNode()
                .put("finish_reason", reason.wireName())
                .put("tokens", tokenCount);
        submit(() -> writeLast("done", data));
    }

    @Override
    public void refuse(ErrorCode code, String detail, long retryAfterMillis) {
        response.resume(Problem.response(code, detail, retryAfterMillis));
    }

    @Override
    public void fail(ErrorCode code, String detail) {
        if (!opened) {
            response.resume(Problem.response(code, detail));
            return;
        }
        submit(() -> writeLast("error", Problem.document(code, detail)));
    }

    private void writeTokens(int offset, List<Token> tokens, ResumePosition next) throws IOException {
        for (int i = 0; i < tokens.size(); i++) {
            Token token = tokens.get(i);
            int tokenOffset = offset + i;
            ObjectNode data = JsonNodeFactory.instance
                    .objectNode()
                    .put("offset", tokenOffset)
                    .put("token_id", token.id())
                    .put("text", token.text());
            ResumePosition position = new ResumePosition(next.journalAgentId(), next.epoch(), tokenOffset + 1);
            output.write(new OutboundEvent.Builder()
                    .id(position.toString())
                    .data(String.class, data.toString())
                    .build());
        }
    }

    private void writeLast(String name, ObjectNode data) throws IOException {
        output.write(new OutboundEvent.Builder()
                .name(name)
                .data(String.class, data.toString())
                .build());
        output.close();
    }

    private void submit(Write write) {
        writeQueue.execute(() -> {
            if (disconnected) {
                return;
            }
            try {
                write.run();
            } catch (IOException | RuntimeException failure) {
                disconnect();
            }
        });
    }

    private void disconnect() {
        if (!disconnected) {
            disconnected = true;
            disconnectHandler.run();
        }
    }

    private interface Write {
        void run() throws IOException;
    }
}
