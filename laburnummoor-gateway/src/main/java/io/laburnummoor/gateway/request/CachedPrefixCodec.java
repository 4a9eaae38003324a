package io.laburnummoor.gateway.request;

import java.util.Set;

import io.laburnummoor.core.connection.UpstreamInstance;
import io.netty.handler.codec.http.FullHttpRequest;

/** Translates the question which prompt parts an engine keeps in its memory. */
public interface CachedPrefixCodec {
    /** Returns the question to an engine. */
    FullHttpRequest encodeQuery(UpstreamInstance instance);

    /**
     * Returns the keys of the parts that the engine keeps.
     *
     * @throws IllegalArgumentException if the answer cannot be read
     */
    Set<String> decode(byte[] answer);
}
