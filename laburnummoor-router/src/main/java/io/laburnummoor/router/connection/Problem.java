package io.laburnummoor.router.connection;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.ErrorCode;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;

/** Problem documents of RFC 9457. */
public final class Problem {
    /** Media type of a problem document. */
    public static final MediaType MEDIA_TYPE = MediaType.valueOf("application/problem+json");

    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private Problem() {}

    /** Returns the problem document of an error. */
    public static ObjectNode document(ErrorCode code, String detail) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("type", "about:blank")
                .put("title", code.code().replace('_', ' '))
                .put("status", code.httpStatus())
                .put("code", code.code())
                .put("detail", detail);
    }

    /** Returns the response to an error, with {@code Retry-After} if a retry may succeed. */
    public static Response response(ErrorCode code, String detail) {
        return response(code, detail, MIN_RETRY_AFTER_MILLIS);
    }

    /** Returns the response to an error; {@code Retry-After} is rounded up to whole seconds. */
    public static Response response(ErrorCode code, String detail, long retryAfterMillis) {
        Response.ResponseBuilder builder = Response.status(code.httpStatus())
                .type(MEDIA_TYPE)
                .entity(document(code, detail).toString());
        if (isRetryable(code)) {
            builder.header("Retry-After", (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
        }
        if (code == ErrorCode.BODY_TOO_LARGE) {
            // The rest of the request body is not read, so the connection cannot be reused.
            builder.header("Connection", "close");
        }
        return builder.build();
    }

    private static boolean isRetryable(ErrorCode code) {
        int status = code.httpStatus();
        return status == 503
                || status == 429
                || code == ErrorCode.DUPLICATE_RUNNING
                || code == ErrorCode.OUTCOME_UNKNOWN;
    }
}
