package io.laburnummoor.router.process;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.version.OrganisationDeclaration;
import io.laburnummoor.core.version.ServiceDeclaration;
import org.apache.commons.codec.digest.DigestUtils;
import org.jspecify.annotations.Nullable;

/** Finds the organisation and the service of a request in the configuration in force. */
public final class RequestAuthenticator {
    private static final String BEARER_PREFIX = "Bearer ";

    private final ConfigHolder config;

    /** Creates an authenticator that reads the given configuration. */
    public RequestAuthenticator(ConfigHolder config) {
        this.config = config;
    }

    /**
     * Returns the organisation of an {@code Authorization} header.
     *
     * @throws LaburnummoorException with code {@code unauthenticated} if there is none
     */
    public OrganisationDeclaration authenticate(@Nullable String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
            throw new LaburnummoorException(ErrorCode.UNAUTHENTICATED, "an Authorization header with a key is needed");
        }
        String digest = DigestUtils.sha256Hex(authorization.substring(BEARER_PREFIX.length()));
        OrganisationDeclaration organisation = config.current().organisationOfKey(digest);
        if (organisation == null) {
            throw new LaburnummoorException(ErrorCode.UNAUTHENTICATED, "the key belongs to no organisation");
        }
        return organisation;
    }

    /**
     * Returns a declared service of the given kind.
     *
     * @throws LaburnummoorException with code {@code unknown_service} if there is none
     */
    public ServiceDeclaration requireService(String name, ServiceDeclaration.Kind kind) {
        ServiceDeclaration service = config.current().service(name);
        if (service == null || service.kind() != kind) {
            throw new LaburnummoorException(ErrorCode.UNKNOWN_SERVICE, "service " + name + " is not declared");
        }
        return service;
    }
}
