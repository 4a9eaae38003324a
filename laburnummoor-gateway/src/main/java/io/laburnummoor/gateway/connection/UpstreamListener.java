package io.laburnummoor.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Hears the answer to the one request that is open on an upstream connection. */
public interface UpstreamListener {
    /** The head of the answer has arrived. */
    void onHead(HttpResponse response);

    /** A part of the body has arrived; the buffer is valid during the call only. */
    void onContent(ByteBuf content);

    /** The answer is complete. */
    void onComplete();

    /**
     * The connection ended, or broke the protocol, before the answer was complete.
     *
     * @param cause short text for the log
     */
    void onFailure(String cause);
}
