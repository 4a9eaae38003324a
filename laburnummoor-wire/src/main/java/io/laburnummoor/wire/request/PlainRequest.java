package io.laburnummoor.wire.request;

import java.util.Map;

/**
 * A call of a plain service as it is forwarded.
 *
 * @param method HTTP method
 * @param pathAndQuery path at the upstream, with the query if there is one
 * @param headers headers to send
 * @param body body, empty for none
 */
@SuppressWarnings("ArrayRecordComponent")
public record PlainRequest(String method, String pathAndQuery, Map<String, String> headers, byte[] body) {}
