package io.laburnummoor.router.request;

import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.wire.request.PlainRequest;

/**
 * A call from a caller to a plain service.
 *
 * @param id organisation and idempotency key; the key is empty for idempotent calls
 * @param service name of the plain service
 * @param request the request that is forwarded to the upstream
 * @param bodyDigest digest of method, service, path, query and body
 * @param deadlineMillis deadline of the caller, on the monotonic clock
 */
public record PlainCall(RequestId id, String service, PlainRequest request, String bodyDigest, long deadlineMillis) {}
