package io.laburnummoor.router.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.ClaimPolicy;
import io.laburnummoor.core.request.IdempotencyKey;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.version.IdempotencyClassifier;
import io.laburnummoor.core.version.OrganisationDeclaration;
import io.laburnummoor.core.version.ServiceDeclaration;
import io.laburnummoor.router.request.PlainCall;
import io.laburnummoor.wire.request.PlainRequest;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HEAD;
import jakarta.ws.rs.OPTIONS;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.container.Suspended;
import jakarta.ws.rs.core.Context;
import org.apache.commons.codec.digest.DigestUtils;
import org.jspecify.annotations.Nullable;

/** {@code /services/<service>/<path>}: forwards calls to plain services. */
@Path("/services/{rest: .*}")
public final class ServicesResource {
    /** Header with the longest time that the caller waits for the response, in milliseconds. */
    static final String TIMEOUT_HEADER = "X-Timeout-Millis";

    private static final String PATH_PREFIX = "/services/";
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
    private static final long MAX_TIMEOUT_MILLIS = 300_000;
    private static final String[] FORWARDED_HEADERS = {
        "Content-Type", "Accept", "Accept-Language", "If-None-Match", "X-Caller-Id"
    };
    /**
     * Matches paths that an upstream could resolve to a different path, which would bypass the declared idempotency of
     * the route: dot segments, empty segments, backslashes, path parameters, and encoded slashes, backslashes, percent
     * signs and null characters.
     */
    private static final Pattern UNSAFE_PATH = Pattern.compile("(?i)//|\\\\|;|%2f|%5c|%25|%00|/(\\.|%2e){1,2}(/|$)");

    private final RequestAuthenticator authenticator;
    private final PlainCalls calls;
    private final ClaimPolicy policy;
    private final Clock wallClock;
    private final int maxBodyBytes;

    public ServicesResource(
            RequestAuthenticator authenticator,
            PlainCalls calls,
            ClaimPolicy policy,
            Clock wallClock,
            int maxBodyBytes) {
        this.authenticator = authenticator;
        this.calls = calls;
        this.policy = policy;
        this.wallClock = wallClock;
        this.maxBodyBytes = maxBodyBytes;
    }

    @GET
    public void get(@Suspended AsyncResponse response, @Context HttpServletRequest request) {
        forward(response, request);
    }

    @HEAD
    public void head(@Suspended AsyncResponse response, @Context HttpServletRequest request) {
        forward(response, request);
    }

    @OPTIONS
    public void options(@Suspended AsyncResponse response, @Context HttpServletRequest request) {
        forward(response, request);
    }

    @POST
    public void post(@Suspended AsyncResponse response, @Context HttpServletRequest request) {
        forward(response, request);
    }

    @PUT
    public void put(@Suspended AsyncResponse response, @Context HttpServletRequest request) {
        forward(response, request);
    }

    @PATCH
    public void patch(@Suspended AsyncResponse response, @Context HttpServletRequest request) {
        forward(response, request);
    }

    @DELETE
    public void delete(@Suspended AsyncResponse response, @Context HttpServletRequest request) {
        forward(response, request);
    }

    private void forward(AsyncResponse response, HttpServletRequest request) {
        OrganisationDeclaration organisation = authenticator.authenticate(request.getHeader("Authorization"));
        String servicePath = request.getRequestURI().substring(PATH_PREFIX.length());
        int slashIndex = servicePath.indexOf('/');
        String serviceName = slashIndex < 0 ? servicePath : servicePath.substring(0, slashIndex);
        String path = slashIndex < 0 ? "/" : servicePath.substring(slashIndex);
        if (UNSAFE_PATH.matcher(path).find()) {
            throw badRequest("the path must not contain dot segments, empty segments, backslashes or path parameters,"
                    + " nor encoded slashes, backslashes, percent signs or null characters");
        }
        ServiceDeclaration service = authenticator.requireService(serviceName, ServiceDeclaration.Kind.PLAIN);
        byte[] body = RequestBody.read(request::getInputStream, maxBodyBytes);
        boolean idempotent = IdempotencyClassifier.isIdempotent(service, request.getMethod(), path);
        String key = idempotent ? "" : validatedKey(request.getHeader("Idempotency-Key"));
        String query = request.getQueryString();
        String pathAndQuery = query == null ? path : path + "?" + query;
        String digest = DigestUtils.sha256Hex(
                request.getMethod() + "\n" + serviceName + "\n" + pathAndQuery + "\n" + DigestUtils.sha256Hex(body));
        long deadlineMillis = calls.context().clock().nowMillis() + timeoutMillis(request.getHeader(TIMEOUT_HEADER));
        calls.submit(
                new PlainCall(
                        new RequestId(organisation.name(), key),
                        serviceName,
                        new PlainRequest(request.getMethod(), pathAndQuery, headers(request, organisation, key), body),
                        digest,
                        deadlineMillis),
                idempotent,
                response);
    }

    private String validatedKey(@Nullable String text) {
        if (text == null) {
            throw badRequest("this call is not idempotent and requires an Idempotency-Key header with a UUIDv7");
        }
        IdempotencyKey key = IdempotencyKey.parse(text);
        key.checkIssueTime(wallClock.nowMillis(), policy.retentionMillis());
        return key.text();
    }

    private static Map<String, String> headers(
            HttpServletRequest request, OrganisationDeclaration organisation, String key) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String name : FORWARDED_HEADERS) {
            String value = request.getHeader(name);
            if (value != null) {
                headers.put(name, value);
            }
        }
        headers.put("X-Organisation", organisation.name());
        if (!key.isEmpty()) {
            headers.put("Idempotency-Key", key);
        }
        return headers;
    }

    private static long timeoutMillis(@Nullable String text) {
        if (text == null) {
            return DEFAULT_TIMEOUT_MILLIS;
        }
        if (!text.matches("[1-9][0-9]{0,5}") || Long.parseLong(text) > MAX_TIMEOUT_MILLIS) {
            throw badRequest(TIMEOUT_HEADER + " must be a whole number from 1 to " + MAX_TIMEOUT_MILLIS);
        }
        return Long.parseLong(text);
    }

    private static LaburnummoorException badRequest(String message) {
        return new LaburnummoorException(ErrorCode.BAD_REQUEST, message);
    }
}
