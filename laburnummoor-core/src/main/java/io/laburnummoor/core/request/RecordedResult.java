package io.laburnummoor.core.request;

import org.jspecify.annotations.Nullable;

/**
 * What an upstream answered to a non-idempotent call, as it is kept for later repetitions.
 *
 * @param status HTTP status
 * @param contentType media type of the body, empty for none
 * @param bodyBase64 body, or null if it was larger than the recording limit
 * @param sizeBytes size of the body
 */
public record RecordedResult(int status, String contentType, @Nullable String bodyBase64, int sizeBytes) {}
