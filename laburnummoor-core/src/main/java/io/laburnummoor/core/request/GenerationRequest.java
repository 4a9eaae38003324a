package io.laburnummoor.core.request;

import org.jspecify.annotations.Nullable;

/**
 * A caller's request for a generation.
 *
 * @param id identity of the request
 * @param service name of the service
 * @param prompt text to continue
 * @param maxTokens maximum number of tokens to generate
 * @param temperature sampling temperature, 0 for greedy decoding
 * @param seed sampling seed, or null to let the router choose one
 * @param adapter name of the adapter, empty for none
 * @param priority priority class
 * @param caller name of the caller inside its organisation, used for fair scheduling
 * @param bodyDigest digest of the body in hexadecimal, equal for equal requests
 */
public record GenerationRequest(
        RequestId id,
        String service,
        String prompt,
        int maxTokens,
        double temperature,
        @Nullable Long seed,
        String adapter,
        Priority priority,
        String caller,
        String bodyDigest) {}
