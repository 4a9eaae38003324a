package io.laburnummoor.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to the open request of an upstream connection. */
public interface UpstreamListener {
    /** Called when the head of the response has arrived. */
    void onHead(HttpResponse response);

    /** Called for each part of the body; the buffer is valid only during the call. */
    void onContent(ByteBuf content);

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when the connection closed, or violated the protocol, before the response was complete.
     *
     * @param cause short description for the log
     */
    void onFailure(String cause);
}
