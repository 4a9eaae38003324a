package io.laburnummoor.wire.request;

/** Receives the end of one forwarded call; exactly one method is called, once. */
public interface PlainCallListener {
    /** The upstream answered. */
    void onResponse(PlainResponse response);

    /** No byte of the call reached the upstream. */
    void onNeverHandedOver(String reason);

    /** The connection failed or timed out after the call may have reached the upstream. */
    void onLost(String reason);
}
