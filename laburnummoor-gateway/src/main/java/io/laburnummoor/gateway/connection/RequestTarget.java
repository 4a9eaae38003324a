package io.laburnummoor.gateway.connection;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

/** The parts of a request that select its route. Stateless. */
final class RequestTarget {
    private RequestTarget() {}

    /** Returns the host without its port. */
    static String hostOf(HttpRequest request) {
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    /** Returns the path without its query. */
    static String pathOf(HttpRequest request) {
        String target = request.uri();
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
