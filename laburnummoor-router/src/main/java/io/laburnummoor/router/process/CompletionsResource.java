package io.laburnummoor.router.process;

import java.io.InputStream;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicReference;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.request.GenerationRequest;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.request.ResumePosition;
import io.laburnummoor.core.version.OrganisationDeclaration;
import io.laburnummoor.core.version.ServiceDeclaration;
import io.laburnummoor.router.connection.BufferedCallerStream;
import io.laburnummoor.router.connection.CallerStream;
import io.laburnummoor.router.connection.SseCallerStream;
import io.laburnummoor.router.request.CompletionBody;
import io.laburnummoor.router.request.GenerationSession;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.container.Suspended;
import jakarta.ws.rs.core.Context;
import org.jspecify.annotations.Nullable;

/** {@code POST /v1/completions}: generations, answered as an event stream or in one response. */
@Path("/v1/completions")
public final class CompletionsResource {
    private static final int MAX_KEY_CHARS = 200;

    private final RequestAuthenticator authenticator;
    private final GenerationRegistry registry;
    private final ExecutorService writers;
    private final int maxBodyBytes;

    /**
     * Creates the resource.
     *
     * @param writers executor that writes event streams to callers
     */
    public CompletionsResource(
            RequestAuthenticator authenticator,
            GenerationRegistry registry,
            ExecutorService writers,
            int maxBodyBytes) {
        this.authenticator = authenticator;
        this.registry = registry;
        this.writers = writers;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Starts a generation, or resumes it after the event that {@code Last-Event-ID} names. */
    @POST
    public void complete(
            @Suspended AsyncResponse response,
            @Context HttpServletRequest httpRequest,
            @HeaderParam("Authorization") @Nullable String authorization,
            @HeaderParam("Idempotency-Key") @Nullable String idempotencyKey,
            @HeaderParam("Last-Event-ID") @Nullable String lastEventId,
            @HeaderParam("X-Caller-Id") @Nullable String callerId,
            InputStream bodyStream) {
        OrganisationDeclaration organisation = authenticator.authenticate(authorization);
        CompletionBody body = CompletionBody.parse(RequestBody.read(() -> bodyStream, maxBodyBytes));
        authenticator.requireService(body.service(), ServiceDeclaration.Kind.ENGINE);
        ResumePosition resume = lastEventId == null ? null : parseResumePosition(lastEventId);
        String key = validatedKey(idempotencyKey);
        RequestId id = new RequestId(organisation.name(), key);
        String caller = callerId == null ? httpRequest.getRemoteAddr() : callerId;
        GenerationRequest request = body.toRequest(id, caller);
        boolean keyIsNew = idempotencyKey == null && resume == null;

        AtomicReference<@Nullable GenerationSession> session = new AtomicReference<>();
        AtomicReference<@Nullable CallerStream> stream = new AtomicReference<>();
        CallerStream callerStream = body.stream()
                ? new SseCallerStream(response, writers, () -> disconnect(session.get(), stream.get()))
                : new BufferedCallerStream(response);
        stream.set(callerStream);
        session.set(registry.submit(request, callerStream, resume, keyIsNew));
    }

    private static void disconnect(@Nullable GenerationSession session, @Nullable CallerStream stream) {
        if (session != null && stream != null) {
            session.onDisconnect(stream);
        }
    }

    private static ResumePosition parseResumePosition(String lastEventId) {
        ResumePosition position = ResumePosition.parse(lastEventId);
        if (position == null) {
            throw new LaburnummoorException(
                    ErrorCode.BAD_REQUEST, "Last-Event-ID must be an event id that this service has issued");
        }
        return position;
    }

    private static String validatedKey(@Nullable String key) {
        if (key == null) {
            return UUID.randomUUID().toString();
        }
        if (key.isBlank() || key.length() > MAX_KEY_CHARS) {
            throw new LaburnummoorException(
                    ErrorCode.BAD_REQUEST, "Idempotency-Key must have 1 to " + MAX_KEY_CHARS + " characters");
        }
        return key;
    }
}
