package io.laburnummoor.wire.request;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.laburnummoor.core.Service;
import io.laburnummoor.core.connection.Upstream;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.client5.http.async.methods.SimpleResponseConsumer;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.nio.support.BasicRequestProducer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/**
 * Forwards calls to plain services.
 *
 * <p>Each non-idempotent call gets a connection of its own. On a reused connection a close by the upstream can cross
 * with the call, and then nothing proves whether the call was taken; with a new one a refused connect proves that it
 * was not.
 */
public final class PlainServiceClient implements Service {
    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_CONNECTIONS = 10_000;
    private static final int MAX_CONNECTIONS_PER_UPSTREAM = 1_000;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final List<String> PASSED_HEADERS = List.of("Location", "ETag", "Cache-Control", "Retry-After");

    private final CloseableHttpAsyncClient reusing = build(true);
    private final CloseableHttpAsyncClient single = build(false);

    @Override
    public void start() {
        reusing.start();
        single.start();
    }

    @Override
    public void stop() {
        reusing.close(CloseMode.GRACEFUL);
        single.close(CloseMode.GRACEFUL);
    }

    /** Forwards a call; the listener hears of its end within about the timeout. */
    public void send(
            Upstream upstream,
            PlainRequest request,
            boolean idempotent,
            long timeoutMillis,
            PlainCallListener listener) {
        SimpleRequestBuilder builder = SimpleRequestBuilder.create(request.method())
                .setHttpHost(new HttpHost("http", upstream.host(), upstream.port()))
                .setPath(request.pathAndQuery())
                .setRequestConfig(RequestConfig.custom()
                        .setConnectionRequestTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .setResponseTimeout(Timeout.ofMilliseconds(Math.max(1, timeoutMillis)))
                        .build());
        request.headers().forEach((name, value) -> {
            if (!name.equals("Content-Type")) {
                builder.setHeader(name, value);
            }
        });
        SimpleHttpRequest message = builder.build();
        RequestBody body = RequestBody.of(request);
        (idempotent ? reusing : single)
                .execute(
                        new BasicRequestProducer(message, body),
                        SimpleResponseConsumer.create(),
                        new ListenerCallback(listener, body));
    }

    private static CloseableHttpAsyncClient build(boolean reuseConnections) {
        ConnectionConfig connectionConfig = ConnectionConfig.custom()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .setSocketTimeout(Timeout.DISABLED)
                .build();
        var builder = HttpAsyncClients.custom()
                .setConnectionManager(PoolingAsyncClientConnectionManagerBuilder.create()
                        .setDefaultConnectionConfig(connectionConfig)
                        .setMaxConnTotal(MAX_CONNECTIONS)
                        .setMaxConnPerRoute(MAX_CONNECTIONS_PER_UPSTREAM)
                        .build())
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .disableAuthCaching()
                .addResponseInterceptorFirst((response, entity, context) -> checkStatus(response.getCode()));
        if (!reuseConnections) {
            builder.setConnectionReuseStrategy((request, response, context) -> false);
        }
        return builder.build();
    }

    private static void checkStatus(int status) throws ProtocolException {
        if (status < MIN_STATUS || status > MAX_STATUS) {
            throw new ProtocolException("status " + status + " is not between 100 and 599");
        }
    }

    private static PlainResponse decode(SimpleHttpResponse response) {
        Map<String, String> headers = new HashMap<>();
        for (String name : PASSED_HEADERS) {
            Header header = response.getFirstHeader(name);
            if (header != null) {
                headers.put(name, header.getValue());
            }
        }
        Header contentType = response.getFirstHeader("Content-Type");
        byte[] body = response.getBodyBytes();
        return new PlainResponse(
                response.getCode(),
                contentType == null ? "" : contentType.getValue(),
                Map.copyOf(headers),
                body == null ? new byte[0] : body);
    }

    private static final class ListenerCallback implements FutureCallback<SimpleHttpResponse> {
        private final PlainCallListener listener;
        private final @Nullable RequestBody body;

        ListenerCallback(PlainCallListener listener, @Nullable RequestBody body) {
            this.listener = listener;
            this.body = body;
        }

        @Override
        public void completed(SimpleHttpResponse response) {
            if (body != null && !body.isWritten() && endsWithConnection(response)) {
                listener.onLost("the connection ended before the request was written");
            } else {
                listener.onResponse(decode(response));
            }
        }

        private static boolean endsWithConnection(SimpleHttpResponse response) {
            return response.getBody() != null
                    && !response.containsHeader(HttpHeaders.CONTENT_LENGTH)
                    && !response.containsHeader(HttpHeaders.TRANSFER_ENCODING);
        }

        @Override
        public void failed(Exception cause) {
            if (cause instanceof ConnectException
                    || cause instanceof ConnectTimeoutException
                    || cause instanceof ConnectionRequestTimeoutException
                    || cause instanceof NoRouteToHostException
                    || cause instanceof UnknownHostException) {
                listener.onNeverHandedOver("no connection to the upstream: " + cause.getMessage());
            } else {
                listener.onLost("the upstream did not answer: " + cause.getMessage());
            }
        }

        @Override
        public void cancelled() {
            listener.onLost("the call was cancelled");
        }
    }
}
