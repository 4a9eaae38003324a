package io.laburnummoor.router.request;

import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.wire.request.PlainRequest;

/**
 * A call that a caller has made.
 *
 * @param id organisation and idempotency key; the key is empty for idempotent calls
 * @param service name of the plain service
 * @param request what is forwarded
 * @param bodyDigest digest of method, service, path, query and body
 * @param deadlineMillis monotonic time by which the caller wants an answer
 */
public record PlainCall(RequestId id, String service, PlainRequest request, String bodyDigest, long deadlineMillis) {}
