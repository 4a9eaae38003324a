package io.laburnummoor.core;

import org.jspecify.annotations.Nullable;

/** Unchecked exception with an {@link ErrorCode}, which determines the HTTP status sent to the caller. */
public final class LaburnummoorException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode errorCode;

    /** Creates an exception with a message for the caller or operator. */
    public LaburnummoorException(ErrorCode errorCode, String message) {
        this(errorCode, message, null);
    }

    /** Creates an exception with a message and its cause. */
    public LaburnummoorException(ErrorCode errorCode, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.errorCode = errorCode;
    }

    public ErrorCode errorCode() {
        return errorCode;
    }
}
