package io.laburnummoor.core.request;

/** A running attempt on an engine. */
public interface EngineStream {
    /** Cancels the attempt; events in flight may still arrive. */
    void cancel();
}
