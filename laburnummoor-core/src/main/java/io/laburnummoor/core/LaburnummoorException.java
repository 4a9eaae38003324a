package io.laburnummoor.core;

import org.jspecify.annotations.Nullable;

/** The unchecked exception of the system; every instance carries an {@link ErrorCode}. */
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

    /** Returns the code of this error. */
    public ErrorCode errorCode() {
        return errorCode;
    }
}
