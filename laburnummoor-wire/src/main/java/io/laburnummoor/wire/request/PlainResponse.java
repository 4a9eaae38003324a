package io.laburnummoor.wire.request;

import java.util.Map;

/**
 * Answer of a plain service.
 *
 * @param status HTTP status
 * @param contentType media type of the body, empty for none
 * @param headers other headers that callers may see
 * @param body body, empty for none
 */
@SuppressWarnings("ArrayRecordComponent")
public record PlainResponse(int status, String contentType, Map<String, String> headers, byte[] body) {}
