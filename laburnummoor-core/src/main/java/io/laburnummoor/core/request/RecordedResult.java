package io.laburnummoor.core.request;

import org.jspecify.annotations.Nullable;

/**
 * An upstream's response to a non-idempotent call, recorded for later retries of the call.
 *
 * @param status HTTP status
 * @param contentType media type of the body, empty for none
 * @param bodyBase64 body in Base64, or null if it was larger than the recording limit
 * @param sizeBytes size of the body
 */
public record RecordedResult(int status, String contentType, @Nullable String bodyBase64, int sizeBytes) {}
