package io.laburnummoor.router.process;

import java.io.IOException;
import java.io.InputStream;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;

/** Reads request bodies up to a size limit. */
final class RequestBody {
    private RequestBody() {}

    /**
     * Reads a complete body.
     *
     * @throws LaburnummoorException with code {@code body_too_large} if the body exceeds the limit, or {@code
     *     bad_request} if it cannot be read
     */
    static byte[] read(StreamSource source, int maxBytes) {
        try {
            byte[] bytes = source.open().readNBytes(maxBytes + 1);
            if (bytes.length > maxBytes) {
                throw new LaburnummoorException(
                        ErrorCode.BODY_TOO_LARGE, "the request body exceeds the limit of " + maxBytes + " bytes");
            }
            return bytes;
        } catch (IOException cause) {
            throw new LaburnummoorException(ErrorCode.BAD_REQUEST, "the request body could not be read", cause);
        }
    }

    /** Opens the input stream of a body. */
    interface StreamSource {
        InputStream open() throws IOException;
    }
}
