package io.laburnummoor.gateway.request;

import java.util.Set;

import io.laburnummoor.core.connection.UpstreamInstance;
import io.netty.handler.codec.http.FullHttpRequest;

/** Encodes the query for the prompt parts that an engine has cached, and decodes the response. */
public interface CachedPrefixCodec {
    /** Returns the query to an engine. */
    FullHttpRequest encodeQuery(UpstreamInstance instance);

    /**
     * Returns the keys of the parts that the engine has cached.
     *
     * @throws IllegalArgumentException if the response cannot be decoded
     */
    Set<String> decode(byte[] answer);
}
