package io.laburnummoor.router.process;

import java.io.IOException;
import java.io.InputStream;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;

/** Reads the bodies of callers' requests up to a limit. */
final class RequestBody {
    private RequestBody() {}

    /**
     * Reads a whole body.
     *
     * @throws LaburnummoorException with code {@code body_too_large} over the limit, or {@code bad_request} if the body
     *     cannot be read
     */
    static byte[] read(StreamSource source, int maxBytes) {
        try {
            byte[] bytes = source.open().readNBytes(maxBytes + 1);
            if (bytes.length > maxBytes) {
                throw new LaburnummoorException(
                        ErrorCode.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
            }
            return bytes;
        } catch (IOException cause) {
            throw new LaburnummoorException(ErrorCode.BAD_REQUEST, "the body could not be read", cause);
        }
    }

    /** Gives the stream of a body. */
    interface StreamSource {
        /** Returns the stream. */
        InputStream open() throws IOException;
    }
}
