package io.laburnummoor.core.request;

/** A running attempt on an engine. */
public interface EngineStream {
    /** Cancels the attempt; events that are under way may still arrive. */
    void cancel();
}
