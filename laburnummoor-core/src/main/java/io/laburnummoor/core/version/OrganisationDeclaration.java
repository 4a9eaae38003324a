package io.laburnummoor.core.version;

import java.util.List;

/**
 * Declaration of an organisation.
 *
 * @param name name of the organisation
 * @param keySha256s SHA-256 digests, in hexadecimal, of the keys that its callers present
 * @param maxConcurrent greatest number of requests that run at once over all routers
 * @param tokensPerSecond greatest rate of generated tokens over all routers
 */
public record OrganisationDeclaration(String name, List<String> keySha256s, int maxConcurrent, int tokensPerSecond) {}
