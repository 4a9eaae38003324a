package io.laburnummoor.router.request;

import java.util.Base64;
import java.util.concurrent.atomic.AtomicBoolean;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.request.RecordedResult;
import io.laburnummoor.router.connection.Problem;
import io.laburnummoor.router.process.ClaimMetrics;
import io.laburnummoor.wire.request.PlainResponse;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.core.Response;

/** The response to one caller of a plain service. Only the first response is sent. */
public final class CallAnswer {
    /** Header that marks the recorded result of an earlier call with the same idempotency key. */
    static final String REPLAYED_HEADER = "Idempotency-Replayed";

    private final AsyncResponse response;
    private final boolean idempotent;
    private final ClaimMetrics metrics;
    private final Runnable onEnd;
    private final AtomicBoolean sent = new AtomicBoolean();

    /** Creates the answer of a call; {@code onEnd} runs once, after the response has been sent. */
    public CallAnswer(AsyncResponse response, boolean idempotent, ClaimMetrics metrics, Runnable onEnd) {
        this.response = response;
        this.idempotent = idempotent;
        this.metrics = metrics;
        this.onEnd = onEnd;
    }

    /** Forwards the response of an upstream. */
    public void sendResponse(PlainResponse upstreamResponse) {
        Response.ResponseBuilder builder = Response.status(upstreamResponse.status());
        upstreamResponse.headers().forEach(builder::header);
        send(withBody(builder, upstreamResponse.contentType(), upstreamResponse.body()));
    }

    /** Sends the recorded result of an earlier call. */
    public void sendRecordedResult(RecordedResult result) {
        String body = result.bodyBase64();
        byte[] bytes = body == null ? new byte[0] : Base64.getDecoder().decode(body);
        send(withBody(Response.status(result.status()).header(REPLAYED_HEADER, "true"), result.contentType(), bytes));
    }

    /** Sends an error as a problem document. */
    public void sendError(ErrorCode code, String detail) {
        if (sent.compareAndSet(false, true)) {
            metrics.callFailed(idempotent, code);
            end(Problem.response(code, detail));
        }
    }

    private void send(Response built) {
        if (sent.compareAndSet(false, true)) {
            metrics.callAnswered(idempotent);
            end(built);
        }
    }

    private void end(Response built) {
        try {
            response.resume(built);
        } finally {
            onEnd.run();
        }
    }

    private static Response withBody(Response.ResponseBuilder builder, String contentType, byte[] body) {
        if (body.length > 0) {
            builder.entity(body)
                    .header("Content-Type", contentType.isEmpty() ? "application/octet-stream" : contentType);
        }
        return builder.build();
    }
}
