package io.laburnummoor.core.request;

import io.laburnummoor.core.connection.Upstream;

/** Runs attempts on engines. */
public interface EngineClient {
    /**
     * Starts an attempt. Events arrive at the listener, one at a time and from any thread, possibly before this method
     * returns.
     */
    EngineStream start(Upstream upstream, EngineRequest request, EngineStreamListener listener);
}
