package io.laburnummoor.wire.request;

import java.nio.CharBuffer;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.laburnummoor.core.request.AttemptFailure;
import io.laburnummoor.core.request.EngineStreamListener;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.Token;
import org.apache.hc.client5.http.async.methods.AbstractCharResponseConsumer;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

/** Reads an engine's server-sent events and passes them to the listener of the attempt. */
final class EngineEventConsumer extends AbstractCharResponseConsumer<Boolean> {
    private static final String DATA_PREFIX = "data:";
    /** Code in the body of a refusal by an engine that leaves. */
    private static final String LEAVING_CODE = "\"leaving\"";

    private static final int MAX_REFUSAL_CHARS = 1_024;
    private static final int CAPACITY_INCREMENT_CHARS = 8_192;

    private final ObjectMapper mapper;
    private final EngineStreamListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final StringBuilder line = new StringBuilder();
    private final StringBuilder refusal = new StringBuilder();
    private int httpStatus = HttpStatus.SC_OK;

    EngineEventConsumer(ObjectMapper mapper, EngineStreamListener listener) {
        this.mapper = mapper;
        this.listener = listener;
    }

    @Override
    protected void start(HttpResponse response, ContentType contentType) {
        httpStatus = response.getCode();
    }

    @Override
    protected int capacityIncrement() {
        return CAPACITY_INCREMENT_CHARS;
    }

    @Override
    protected void data(CharBuffer source, boolean endOfStream) {
        if (httpStatus == HttpStatus.SC_SERVICE_UNAVAILABLE && refusal.length() < MAX_REFUSAL_CHARS) {
            refusal.append(source.duplicate());
        }
        while (source.hasRemaining()) {
            char next = source.get();
            if (next == '\n') {
                handleLine(line.toString());
                line.setLength(0);
            } else if (next != '\r') {
                line.append(next);
            }
        }
    }

    @Override
    protected Boolean buildResult() {
        if (httpStatus == HttpStatus.SC_SERVICE_UNAVAILABLE) {
            boolean leaving = refusal.indexOf(LEAVING_CODE) >= 0;
            fail(leaving ? AttemptFailure.LEAVING : AttemptFailure.REFUSED, "engine refused the request");
        } else if (httpStatus != HttpStatus.SC_OK) {
            fail(AttemptFailure.UPSTREAM_ERROR, "engine answered with status " + httpStatus);
        } else {
            fail(AttemptFailure.CONNECTION_LOST, "stream ended before the end of the answer");
        }
        return Boolean.TRUE;
    }

    @Override
    public void failed(Exception cause) {
        fail(AttemptFailure.CONNECTION_LOST, String.valueOf(cause.getMessage()));
    }

    @Override
    public void releaseResources() {
        line.setLength(0);
    }

    /** Reports the loss of the attempt unless its end was reported before. */
    void fail(AttemptFailure failure, @Nullable String detail) {
        if (ended.compareAndSet(false, true)) {
            listener.onFailure(failure, String.valueOf(detail));
        }
    }

    private void handleLine(String text) {
        if (httpStatus != HttpStatus.SC_OK || !text.startsWith(DATA_PREFIX) || ended.get()) {
            return;
        }
        try {
            handleEvent(mapper.readTree(text.substring(DATA_PREFIX.length())));
        } catch (JsonProcessingException | IllegalArgumentException malformed) {
            fail(AttemptFailure.UPSTREAM_ERROR, "malformed event from the engine: " + malformed.getMessage());
        }
    }

    private void handleEvent(JsonNode event) {
        int offset = event.required("offset").intValue();
        if (event.has("finish_reason")) {
            FinishReason reason =
                    FinishReason.fromWireName(event.get("finish_reason").asText());
            if (ended.compareAndSet(false, true)) {
                listener.onEnd(offset, reason);
            }
            return;
        }
        int tokenId = event.required("token_id").intValue();
        listener.onToken(offset, new Token(tokenId, event.required("text").asText()));
    }
}
