package io.laburnummoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** The caller's side of one request. All methods are called on the connection's event loop. */
public interface CallerExchange {
    /** Sends a complete response and ends the exchange. */
    void sendResponse(int status, HttpHeaders headers, ByteBuf body);

    /** Sends a local reply and ends the exchange. */
    void sendLocalReply(LocalReply reply);

    /** Sends the response head of a stream. */
    void beginStream(int status, HttpHeaders headers);

    /** Sends events of a stream. */
    void writeEvents(ByteBuf events);

    /** Marks the stream as complete and ends the exchange. */
    void endStream();

    /** Closes the connection, so that the truncated response cannot look complete. */
    void abort();

    /**
     * Returns whether the caller is still connected, after reading what has arrived on its connection. Without that
     * read, a close that lies behind the request in the same socket would not be seen yet.
     */
    boolean isConnected();

    /** Returns a task whose failure, errors of the virtual machine included, ends the exchange with an error. */
    Runnable guarded(Runnable task);

    /** Returns whether more events can be written without filling the write buffer. */
    boolean isWritable();
}
