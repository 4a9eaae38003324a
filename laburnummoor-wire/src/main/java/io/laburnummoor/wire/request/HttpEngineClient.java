package io.laburnummoor.wire.request;

import java.net.ConnectException;
import java.util.Locale;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.connection.Upstream;
import io.laburnummoor.core.request.AttemptFailure;
import io.laburnummoor.core.request.EngineClient;
import io.laburnummoor.core.request.EngineRequest;
import io.laburnummoor.core.request.EngineStream;
import io.laburnummoor.core.request.EngineStreamListener;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.client5.http.async.methods.SimpleRequestProducer;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/** Runs attempts on engines over HTTP with server-sent events. */
public final class HttpEngineClient implements EngineClient, Service {
    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_CONNECTIONS = 10_000;
    private static final int MAX_CONNECTIONS_PER_ENGINE = 1_000;

    private final ObjectMapper mapper = new ObjectMapper();
    private final CloseableHttpAsyncClient client;

    /** Creates a client; it sends nothing before it is started. */
    public HttpEngineClient() {
        ConnectionConfig connectionConfig = ConnectionConfig.custom()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .setSocketTimeout(Timeout.DISABLED)
                .build();
        this.client = HttpAsyncClients.custom()
                .setConnectionManager(PoolingAsyncClientConnectionManagerBuilder.create()
                        .setDefaultConnectionConfig(connectionConfig)
                        .setMaxConnTotal(MAX_CONNECTIONS)
                        .setMaxConnPerRoute(MAX_CONNECTIONS_PER_ENGINE)
                        .build())
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .build();
    }

    @Override
    public void start() {
        client.start();
    }

    @Override
    public void stop() {
        client.close(CloseMode.GRACEFUL);
    }

    @Override
    public EngineStream start(Upstream upstream, EngineRequest request, EngineStreamListener listener) {
        EngineEventConsumer consumer = new EngineEventConsumer(mapper, listener);
        SimpleHttpRequest message = SimpleRequestBuilder.post()
                .setHttpHost(new HttpHost("http", upstream.host(), upstream.port()))
                .setPath("/v1/completions")
                .setBody(encode(request), ContentType.APPLICATION_JSON)
                .build();
        Future<Boolean> future =
                client.execute(SimpleRequestProducer.create(message), consumer, new FailureCallback(consumer));
        return () -> future.cancel(true);
    }

    private String encode(EngineRequest request) {
        ObjectNode body = mapper.createObjectNode();
        body.put("model", request.binding().service());
        body.put("version", request.binding().version());
        body.put("adapter", request.binding().adapter());
        body.put("seed", request.binding().seed());
        body.put("prompt", request.prompt());
        body.put("max_tokens", request.maxTokens());
        body.put("temperature", request.temperature());
        body.put("priority", request.priority().name().toLowerCase(Locale.ROOT));
        body.put("stream", true);
        request.prefixTokenIds().forEach(body.putArray("prefix_token_ids")::add);
        return body.toString();
    }

    /** Reports failures that happen before the response, such as a refused connection. */
    private static final class FailureCallback implements FutureCallback<Boolean> {
        private final EngineEventConsumer consumer;

        FailureCallback(EngineEventConsumer consumer) {
            this.consumer = consumer;
        }

        @Override
        public void completed(Boolean result) {}

        @Override
        public void failed(Exception cause) {
            boolean refused = cause instanceof ConnectException;
            consumer.fail(
                    refused ? AttemptFailure.REFUSED : AttemptFailure.CONNECTION_LOST,
                    String.valueOf(cause.getMessage()));
        }

        @Override
        public void cancelled() {
            consumer.fail(AttemptFailure.CONNECTION_LOST, "attempt cancelled");
        }
    }
}
