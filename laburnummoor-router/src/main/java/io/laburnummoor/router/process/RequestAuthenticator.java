package io.laburnummoor.router.process;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.version.OrganisationDeclaration;
import io.laburnummoor.core.version.ServiceDeclaration;
import org.apache.commons.codec.digest.DigestUtils;
import org.jspecify.annotations.Nullable;

/** Authenticates requests by their API key and looks up services, both in the configuration in force. */
public final class RequestAuthenticator {
    private static final String BEARER_PREFIX = "Bearer ";

    private final ConfigHolder config;

    public RequestAuthenticator(ConfigHolder config) {
        this.config = config;
    }

    /**
     * Returns the organisation that owns the API key of an {@code Authorization} header.
     *
     * @throws LaburnummoorException with code {@code unauthenticated} if the header has no key or an unknown one
     */
    public OrganisationDeclaration authenticate(@Nullable String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
            throw new LaburnummoorException(
                    ErrorCode.UNAUTHENTICATED, "the request requires an Authorization header with a bearer key");
        }
        String digest = DigestUtils.sha256Hex(authorization.substring(BEARER_PREFIX.length()));
        OrganisationDeclaration organisation = config.current().organisationOfKey(digest);
        if (organisation == null) {
            throw new LaburnummoorException(ErrorCode.UNAUTHENTICATED, "the key does not belong to any organisation");
        }
        return organisation;
    }

    /**
     * Returns the declared service with the given name and kind.
     *
     * @throws LaburnummoorException with code {@code unknown_service} if no such service is declared
     */
    public ServiceDeclaration requireService(String name, ServiceDeclaration.Kind kind) {
        ServiceDeclaration service = config.current().service(name);
        if (service == null || service.kind() != kind) {
            throw new LaburnummoorException(ErrorCode.UNKNOWN_SERVICE, "service " + name + " is not declared");
        }
        return service;
    }
}
