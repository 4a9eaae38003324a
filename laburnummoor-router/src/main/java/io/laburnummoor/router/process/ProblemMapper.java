package io.laburnummoor.router.process;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.router.connection.Problem;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;

/** Maps exceptions that carry an error code to responses of type {@code application/problem+json}. */
public final class ProblemMapper implements ExceptionMapper<LaburnummoorException> {
    @Override
    public Response toResponse(LaburnummoorException failure) {
        return Problem.response(failure.errorCode(), String.valueOf(failure.getMessage()));
    }
}
