package io.laburnummoor.core.version;

import java.util.List;

/**
 * Declaration of an organisation.
 *
 * @param name name of the organisation
 * @param keySha256s SHA-256 digests, in hexadecimal, of the API keys of its callers
 * @param maxConcurrent maximum number of concurrent requests over all routers
 * @param tokensPerSecond maximum rate of generated tokens over all routers
 */
public record OrganisationDeclaration(String name, List<String> keySha256s, int maxConcurrent, int tokensPerSecond) {}
